#include "membership/sealer.h"

#include <sodium.h>
#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace aldersill::membership {
namespace {

constexpr unsigned char kFormat = 1;  // of the datagram
constexpr std::size_t kMaxKeys = 2;   // two are needed while a key is replaced
constexpr int kMaxKeyFileLines = 1'000;
constexpr std::size_t kHeaderBytes = 26;
constexpr std::size_t kSessionOffset = 2;  // the nonce starts here, too
constexpr std::size_t kCounterOffset = 10;
constexpr std::size_t kTimeOffset = 18;
constexpr std::size_t kTagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
static_assert(kSealOverhead == kHeaderBytes + kTagBytes);
static_assert(crypto_aead_xchacha20poly1305_ietf_NPUBBYTES == 24);
static_assert(crypto_aead_xchacha20poly1305_ietf_KEYBYTES == std::tuple_size_v<Key>);

// The key id of a datagram: distinguishes keys without disclosing them.
unsigned char KeyId(const Key& key) {
  std::array<unsigned char, 16> hash{};
  crypto_generichash(hash.data(), hash.size(), key.data(), key.size(), nullptr, 0);
  return hash[0];
}

// Numbers are encoded in eight bytes, in big-endian order.
void AppendNumber(std::string* to, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8)
    to->push_back(static_cast<char>(number >> shift & 0xff));
}
std::uint64_t ReadNumber(std::string_view bytes, std::size_t at) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < 8; ++i)
    number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
  return number;
}
const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

const char* Name(DropReason reason) {
  constexpr const char* kNames[] = {"truncated", "tooLong",  "format",   "key",      "forged",
                                    "stale",     "replayed", "sessions", "malformed"};
  return kNames[static_cast<std::size_t>(reason)];
}

Sealer::Sealer(std::vector<Key> keys, std::uint64_t session) : keys_(std::move(keys)), session_(session) {
  if (sodium_init() < 0)
    throw std::runtime_error("membership: libsodium could not be initialized");
}

void Sealer::ReplaceKeys(std::vector<Key> keys) { keys_ = std::move(keys); }

std::string Sealer::Seal(Micros unix_now, std::string_view packet) {
  std::string out{static_cast<char>(kFormat), static_cast<char>(KeyId(keys_.front()))};
  AppendNumber(&out, session_);
  AppendNumber(&out, ++counter_);
  AppendNumber(&out, static_cast<std::uint64_t>(unix_now / kMillisecond));
  out.resize(kHeaderBytes + packet.size() + kTagBytes);
  unsigned long long length = 0;
  auto* bytes = reinterpret_cast<unsigned char*>(out.data());
  crypto_aead_xchacha20poly1305_ietf_encrypt(bytes + kHeaderBytes, &length, Bytes(packet), packet.size(),
                                             bytes, kHeaderBytes, nullptr, bytes + kSessionOffset,
                                             keys_.front().data());
  return out;
}

std::optional<std::string> Sealer::Open(Micros unix_now, std::string_view datagram) {
  if (datagram.size() <= kHeaderBytes + kTagBytes)
    return Drop(DropReason::kTruncated);
  if (datagram.size() > kMaxDatagram)
    return Drop(DropReason::kTooLong);
  if (static_cast<unsigned char>(datagram[0]) != kFormat)
    return Drop(DropReason::kUnknownFormat);
  std::optional<std::string> packet = Decrypt(datagram);
  if (!packet)
    return std::nullopt;
  const std::uint64_t unix_ms =
      std::min<std::uint64_t>(ReadNumber(datagram, kTimeOffset), INT64_MAX / kMillisecond);
  const Micros sealed_at = static_cast<Micros>(unix_ms) * kMillisecond;
  if (sealed_at < unix_now - kClockWindow || sealed_at > unix_now + kClockWindow)
    return Drop(DropReason::kStale);
  Session* session = FindOrAddSession(unix_now, ReadNumber(datagram, kSessionOffset));
  if (session == nullptr)
    return Drop(DropReason::kTooManySessions);
  if (!MarkSeen(session, ReadNumber(datagram, kCounterOffset)))
    return Drop(DropReason::kReplayed);
  session->last_received = unix_now;
  return packet;
}

std::optional<std::string> Sealer::Decrypt(std::string_view datagram) {
  std::string packet(datagram.size() - kHeaderBytes - kTagBytes, '\0');
  bool known_key = false;
  for (const Key& key : keys_) {
    if (KeyId(key) != static_cast<unsigned char>(datagram[1]))
      continue;
    known_key = true;
    unsigned long long length = 0;
    const int result = crypto_aead_xchacha20poly1305_ietf_decrypt(
        reinterpret_cast<unsigned char*>(packet.data()), &length, nullptr, Bytes(datagram) + kHeaderBytes,
        datagram.size() - kHeaderBytes, Bytes(datagram), kHeaderBytes, Bytes(datagram) + kSessionOffset,
        key.data());
    if (result == 0)
      return packet;
  }
  return Drop(known_key ? DropReason::kForged : DropReason::kUnknownKey);
}

std::optional<std::string> Sealer::Drop(DropReason reason) {
  ++dropped_[static_cast<std::size_t>(reason)];
  return std::nullopt;
}

Sealer::Session* Sealer::FindOrAddSession(Micros now, std::uint64_t id) {
  if (const auto found = sessions_.find(id); found != sessions_.end())
    return &found->second;
  // Datagrams of the sessions removed here are stale by now, so they cannot be replayed.
  if (sessions_.size() >= kMaxSessions)
    std::erase_if(sessions_,
                  [now](const auto& item) { return now - item.second.last_received > 3 * kClockWindow; });
  if (sessions_.size() >= kMaxSessions)
    return nullptr;
  return &sessions_[id];
}

// The sliding window of RFC 4303, section 3.4.3, with one window for each sender's session.
bool Sealer::MarkSeen(Session* session, std::uint64_t counter) {
  if (session->seen.none())
    session->highest = counter;
  if (counter > session->highest) {
    const std::uint64_t ahead = counter - session->highest;
    session->seen = ahead < kReplayWindow ? session->seen << ahead : std::bitset<kReplayWindow>();
    session->highest = counter;
  }
  const std::uint64_t behind = session->highest - counter;
  if (behind >= kReplayWindow || session->seen.test(behind))
    return false;
  session->seen.set(behind);
  return true;
}

namespace {

// Strips the comment and the trailing white space from a line of the key file.
std::string_view WithoutComment(std::string_view line) {
  line = line.substr(0, line.find('#'));
  return line.substr(0, line.find_last_not_of(" \t\r") + 1);
}

std::optional<Key> ParseKey(std::string_view digits) {
  Key key;
  std::size_t length = 0;
  const char* end = nullptr;
  const int result =
      sodium_hex2bin(key.data(), key.size(), digits.data(), digits.size(), nullptr, &length, &end);
  if (result != 0 || length != key.size() || end != digits.data() + digits.size())
    return std::nullopt;
  return key;
}

}  // namespace

std::vector<Key> ReadKeys(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0)
    throw std::runtime_error(path + ":1: the key file cannot be read");
  if ((status.st_mode & 077) != 0)
    throw std::runtime_error(path + ":1: the key file is open to others than its owner (chmod 600)");
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error(path + ":1: the key file cannot be read");
  std::vector<Key> keys;
  int number = 0;
  for (std::string line; std::getline(file, line) && number < kMaxKeyFileLines;) {
    ++number;
    const std::string_view digits = WithoutComment(line);
    if (digits.empty())
      continue;
    const std::string where = path + ":" + std::to_string(number) + ": ";
    const std::optional<Key> key = ParseKey(digits);
    if (!key)
      throw std::runtime_error(where + "a key must be 64 hex digits");
    if (keys.size() == kMaxKeys)
      throw std::runtime_error(where + "at most two keys are in force at a time");
    keys.push_back(*key);
  }
  if (keys.empty())
    throw std::runtime_error(path + ":1: the key file holds no key");
  return keys;
}

}  // namespace aldersill::membership

#include "membership/sealer.h"

#include <sodium.h>
#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace aldersill::membership {
namespace {

constexpr unsigned char kFormat = 1;
constexpr std::size_t kHeader = 26;
constexpr std::size_t kTag = crypto_aead_xchacha20poly1305_ietf_ABYTES;
static_assert(kSealOverhead == kHeader + kTag);
static_assert(crypto_aead_xchacha20poly1305_ietf_NPUBBYTES == 24);
static_assert(crypto_aead_xchacha20poly1305_ietf_KEYBYTES == std::tuple_size_v<Key>);

// Tells keys apart without showing them.
unsigned char IdOf(const Key& key) {
  std::array<unsigned char, 16> hash{};
  crypto_generichash(hash.data(), hash.size(), key.data(), key.size(), nullptr, 0);
  return hash[0];
}

void PutNumber(std::string* to, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8)
    to->push_back(static_cast<char>(number >> shift & 0xff));
}
std::uint64_t NumberAt(std::string_view bytes, std::size_t at) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < 8; ++i)
    number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
  return number;
}
const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

const char* Name(Dropped why) {
  constexpr const char* kNames[] = {"truncated", "tooLong",  "format",   "key",      "forged",
                                    "stale",     "replayed", "sessions", "malformed"};
  return kNames[static_cast<std::size_t>(why)];
}

Sealer::Sealer(std::vector<Key> keys, std::uint64_t session) : keys_(std::move(keys)), session_(session) {
  if (sodium_init() < 0)
    throw std::runtime_error("membership: libsodium cannot begin");
}

void Sealer::ReplaceKeys(std::vector<Key> keys) { keys_ = std::move(keys); }

std::string Sealer::Seal(Micros unix_now, std::string_view packet) {
  std::string out{static_cast<char>(kFormat), static_cast<char>(IdOf(keys_.front()))};
  PutNumber(&out, session_);
  PutNumber(&out, ++counter_);
  PutNumber(&out, static_cast<std::uint64_t>(unix_now / kMillisecond));
  out.resize(kHeader + packet.size() + kTag);
  unsigned long long length = 0;
  auto* bytes = reinterpret_cast<unsigned char*>(out.data());
  crypto_aead_xchacha20poly1305_ietf_encrypt(bytes + kHeader, &length, Bytes(packet), packet.size(), bytes,
                                             kHeader, nullptr, bytes + 2, keys_.front().data());
  return out;
}

std::optional<std::string> Sealer::Open(Micros unix_now, std::string_view datagram) {
  if (datagram.size() <= kHeader + kTag)
    return Drop(Dropped::kTruncated);
  if (datagram.size() > kMostDatagram)
    return Drop(Dropped::kTooLong);
  if (static_cast<unsigned char>(datagram[0]) != kFormat)
    return Drop(Dropped::kFormat);
  std::string packet(datagram.size() - kHeader - kTag, '\0');
  bool known = false, authentic = false;
  for (const Key& key : keys_) {
    if (IdOf(key) != static_cast<unsigned char>(datagram[1]))
      continue;
    known = true;
    unsigned long long length = 0;
    authentic = crypto_aead_xchacha20poly1305_ietf_decrypt(reinterpret_cast<unsigned char*>(packet.data()),
                                                           &length, nullptr, Bytes(datagram) + kHeader,
                                                           datagram.size() - kHeader, Bytes(datagram),
                                                           kHeader, Bytes(datagram) + 2, key.data()) == 0;
    if (authentic)
      break;
  }
  if (!known)
    return Drop(Dropped::kKey);
  if (!authentic)
    return Drop(Dropped::kForged);
  const auto sealed_at =
      static_cast<Micros>(std::min<std::uint64_t>(NumberAt(datagram, 18), INT64_MAX / 1'000)) * kMillisecond;
  if (sealed_at < unix_now - kClockWindow || sealed_at > unix_now + kClockWindow)
    return Drop(Dropped::kStale);
  Dropped why = Dropped::kReplayed;
  if (!Fresh(unix_now, NumberAt(datagram, 2), NumberAt(datagram, 10), &why))
    return Drop(why);
  return packet;
}

std::optional<std::string> Sealer::Drop(Dropped why) {
  ++dropped_[static_cast<std::size_t>(why)];
  return std::nullopt;
}

// RFC 4303's sliding window, section 3.4.3, one for each sender's session.
bool Sealer::Fresh(Micros now, std::uint64_t number, std::uint64_t counter, Dropped* why) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) {
    if (sessions_.size() >= kMostSessions) {
      // What a forgotten session sealed is stale by now, so forgetting opens no door.
      std::erase_if(sessions_, [now](const auto& s) { return now - s.second.last > 3 * kClockWindow; });
      if (sessions_.size() >= kMostSessions) {
        *why = Dropped::kSessions;
        return false;
      }
    }
    found = sessions_.emplace(number, Session{counter, {}, now}).first;
    found->second.seen.set(0);
    return true;
  }
  Session& s = found->second;
  if (counter > s.highest) {
    const std::uint64_t ahead = counter - s.highest;
    s.seen = ahead < kWindow ? s.seen << ahead : std::bitset<kWindow>();
    s.seen.set(0);
    s.highest = counter;
  } else {
    const std::uint64_t behind = s.highest - counter;
    if (behind >= kWindow || s.seen.test(behind))
      return false;
    s.seen.set(behind);
  }
  s.last = now;
  return true;
}

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
  for (std::string line; std::getline(file, line) && number < 1'000;) {
    ++number;
    line.erase(std::min(line.find('#'), line.size()));
    line.erase(line.find_last_not_of(" \t\r") + 1);
    if (line.empty())
      continue;
    Key key;
    std::size_t length = 0;
    const char* end = nullptr;
    const int bad = sodium_hex2bin(key.data(), key.size(), line.data(), line.size(), nullptr, &length, &end);
    const std::string where = path + ":" + std::to_string(number) + ": ";
    if (bad != 0 || length != key.size() || end != line.data() + line.size())
      throw std::runtime_error(where + "a key must be 64 hex digits");
    if (keys.size() == 2)
      throw std::runtime_error(where + "at most two keys are in force at a time");
    keys.push_back(key);
  }
  if (keys.empty())
    throw std::runtime_error(path + ":1: the key file holds no key");
  return keys;
}

}  // namespace aldersill::membership

// Seals and opens datagrams: XChaCha20-Poly1305 under a shared key, with a window against replays. It does no
// I/O; the caller passes the time.
//
//   format 1 | key id 1 | session 8 | counter 8 | Unix milliseconds 8 | sealed packet | tag 16
//
// Everything before the sealed packet is authenticated with it. Session, counter and time are the nonce: the
// session is random and new at each start, so that no nonce is used twice.
#ifndef ALDERSILL_SRC_MEMBERSHIP_SEALER_H_
#define ALDERSILL_SRC_MEMBERSHIP_SEALER_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace aldersill::membership {

using Key = std::array<unsigned char, 32>;

enum class DropReason {
  kTruncated,  // too short for the head and the tag
  kTooLong,
  kUnknownFormat,    // an unknown format
  kUnknownKey,       // sealed under no key in force
  kForged,           // the tag does not match: forged or damaged
  kStale,            // sealed outside kClockWindow
  kReplayed,         // seen before: replayed, or duplicated by the network
  kTooManySessions,  // beyond the bound on senders
  kMalformed,        // authentic, but not a packet of this version
  kCount
};
const char* Name(DropReason reason);

constexpr std::size_t kSealOverhead = 26 + 16;
constexpr std::size_t kMaxDatagram = 8'192;  // longer ones are dropped unread
// The greatest difference of two members' clocks, network delay included.
constexpr Micros kClockWindow = 30 * kSecond;

class Sealer {
 public:
  // `session`: random, new at each start. The first key seals; every key, two at most, opens. Throws
  // std::runtime_error if libsodium cannot be initialized.
  Sealer(std::vector<Key> keys, std::uint64_t session);

  void ReplaceKeys(std::vector<Key> keys);
  std::string Seal(Micros unix_now, std::string_view packet);
  // The packet; no value if the datagram is dropped, which is counted by its reason.
  std::optional<std::string> Open(Micros unix_now, std::string_view datagram);
  void CountMalformed() { ++dropped_[static_cast<std::size_t>(DropReason::kMalformed)]; }
  const std::array<std::uint64_t, static_cast<std::size_t>(DropReason::kCount)>& dropped() const {
    return dropped_;
  }

 private:
  static constexpr std::size_t kReplayWindow = 256;  // by how many datagrams one may be overtaken
  static constexpr std::size_t kMaxSessions = 4'096;
  struct Session {
    std::uint64_t highest = 0;
    std::bitset<kReplayWindow> seen;  // [0]: the highest counter
    Micros last_received = 0;
  };
  std::optional<std::string> Drop(DropReason reason);
  // Opens with the keys in force; no value, counted, if none of them authenticates the datagram.
  std::optional<std::string> Decrypt(std::string_view datagram);
  // The session's window; null if there are too many sessions.
  Session* FindOrAddSession(Micros now, std::uint64_t id);
  // False if the counter was seen before or is too far behind.
  static bool MarkSeen(Session* session, std::uint64_t counter);

  std::vector<Key> keys_;
  std::uint64_t session_;
  std::uint64_t counter_ = 0;
  std::map<std::uint64_t, Session> sessions_;
  std::array<std::uint64_t, static_cast<std::size_t>(DropReason::kCount)> dropped_{};
};

// Reads a key file: one or two lines of 64 hex digits; `#` begins a comment. The file must be accessible to
// its owner alone. Throws std::runtime_error with one line that names path and line but shows nothing of a
// key.
std::vector<Key> ReadKeys(const std::string& path);

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SEALER_H_

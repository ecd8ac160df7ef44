// Seals and opens datagrams: XChaCha20-Poly1305 under a shared key, with a window against replays. It does no
// I/O; the time is given to it.
//
//   format 1 | key id 1 | session 8 | counter 8 | Unix milliseconds 8 | sealed packet | tag 16
//
// All before the sealed packet is authenticated with it, and session, counter and time are its nonce: a
// session is drawn anew at each start, so that none comes twice.
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

enum class Dropped {
  kTruncated,  // too short to hold anything
  kTooLong,
  kFormat,     // of no version that we know
  kKey,        // under no key in force
  kForged,     // or damaged on the way: its tag does not fit
  kStale,      // sealed too long ago, or by a clock too far from ours
  kReplayed,   // or a copy that the network made
  kSessions,   // beyond the bound on senders
  kMalformed,  // authentic, but no packet: another version's
  kCount
};
const char* Name(Dropped why);

constexpr std::size_t kSealOverhead = 26 + 16;
constexpr std::size_t kMostDatagram = 8'192;  // longer ones are not looked at
// How far two instances' clocks may be apart, the time on the way included.
constexpr Micros kClockWindow = 30 * kSecond;

class Sealer {
 public:
  // `session`: random, new with each start. The first key seals; all of them, two at most, open. Throws
  // std::runtime_error if the library cannot begin.
  Sealer(std::vector<Key> keys, std::uint64_t session);

  void ReplaceKeys(std::vector<Key> keys);
  std::string Seal(Micros unix_now, std::string_view packet);
  // The packet, or nothing, and why is counted. A datagram is looked at only as far as it has been found
  // good.
  std::optional<std::string> Open(Micros unix_now, std::string_view datagram);
  void CountMalformed() { ++dropped_[static_cast<std::size_t>(Dropped::kMalformed)]; }
  const std::array<std::uint64_t, static_cast<std::size_t>(Dropped::kCount)>& dropped() const {
    return dropped_;
  }

 private:
  static constexpr std::size_t kWindow = 256;  // datagrams that may overtake one another
  static constexpr std::size_t kMostSessions = 4'096;
  struct Session {
    std::uint64_t highest = 0;
    std::bitset<kWindow> seen;  // [0] is the highest
    Micros last = 0;
  };
  std::optional<std::string> Drop(Dropped why);
  bool Fresh(Micros now, std::uint64_t session, std::uint64_t counter, Dropped* why);

  std::vector<Key> keys_;
  std::uint64_t session_;
  std::uint64_t counter_ = 0;
  std::map<std::uint64_t, Session> sessions_;
  std::array<std::uint64_t, static_cast<std::size_t>(Dropped::kCount)> dropped_{};
};

// Lines of 64 hex digits, one or two; `#` begins a comment. Throws std::runtime_error, one line that names
// path and line but shows nothing of a key. The file may be open to its owner alone.
std::vector<Key> ReadKeys(const std::string& path);

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SEALER_H_

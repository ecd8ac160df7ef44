// Encrypts and authenticates datagrams with XChaCha20-Poly1305 under a shared key, and rejects replayed
// datagrams by a sliding window. Does no I/O; the caller passes the time. The layout of a datagram, with
// lengths in bytes:
//
//   format 1 | key id 1 | session 8 | counter 8 | Unix milliseconds 8 | sealed packet | tag 16
//
// The fields before the sealed packet are authenticated together with it. Session, counter and time form the
// nonce. The session is a new random number at each start, so that no nonce is used twice.
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

// Why a received datagram was dropped. Operators see the reason as Name() returns it.
enum class DropReason {
  kTruncated,        // too short for the header and the tag
  kTooLong,          // longer than kMaxDatagram
  kUnknownFormat,    // the format byte is not known
  kUnknownKey,       // the key id is not that of a configured key
  kForged,           // the tag does not match: forged or damaged
  kStale,            // sealing time differs from the local time by more than kClockWindow
  kReplayed,         // counter already seen (replayed, or duplicated by the network) or too far behind
  kTooManySessions,  // the limit of sender sessions is reached
  kMalformed,        // authentic, but not a packet of this version
  kCount             // number of reasons
};
const char* Name(DropReason reason);

constexpr std::size_t kSealOverhead = 26 + 16;  // bytes of the header and the tag
constexpr std::size_t kMaxDatagram = 8'192;     // bytes; longer datagrams are dropped without decryption
// The maximum difference between two members' clocks, including the network delay.
constexpr Micros kClockWindow = 30 * kSecond;

class Sealer {
 public:
  // `session` must be a new random number at each start. Datagrams are sealed with the first key and opened
  // with any of the keys, at most two. Throws std::runtime_error if libsodium cannot be initialized.
  Sealer(std::vector<Key> keys, std::uint64_t session);

  void ReplaceKeys(std::vector<Key> keys);
  // Returns the datagram for an encoded packet.
  std::string Seal(Micros unix_now, std::string_view packet);
  // Returns the encoded packet; no value if the datagram is dropped, which is counted under its reason.
  std::optional<std::string> Open(Micros unix_now, std::string_view datagram);
  // Counts a datagram that was opened but could not be decoded.
  void CountMalformed() { ++dropped_[static_cast<std::size_t>(DropReason::kMalformed)]; }
  // Number of dropped datagrams, by reason.
  const std::array<std::uint64_t, static_cast<std::size_t>(DropReason::kCount)>& dropped() const {
    return dropped_;
  }

 private:
  static constexpr std::size_t kReplayWindow = 256;  // datagrams by which one may arrive out of order
  static constexpr std::size_t kMaxSessions = 4'096;
  // The replay window of one process of a sender.
  struct Session {
    std::uint64_t highest = 0;        // highest counter received
    std::bitset<kReplayWindow> seen;  // bit i: whether counter `highest - i` was received
    Micros last_received = 0;
  };
  // Counts the reason and returns no value.
  std::optional<std::string> Drop(DropReason reason);
  // Decrypts with the configured keys. Returns no value, counted, if none authenticates the datagram.
  std::optional<std::string> Decrypt(std::string_view datagram);
  // Returns null if the limit of sessions is reached.
  Session* FindOrAddSession(Micros now, std::uint64_t id);
  // Returns false if the counter was seen before or is behind the window.
  static bool MarkSeen(Session* session, std::uint64_t counter);

  std::vector<Key> keys_;
  std::uint64_t session_;
  std::uint64_t counter_ = 0;
  std::map<std::uint64_t, Session> sessions_;
  std::array<std::uint64_t, static_cast<std::size_t>(DropReason::kCount)> dropped_{};
};

// Reads a key file: one or two lines of 64 hex digits each; `#` starts a comment. Only the file's owner may
// have access to it. Throws std::runtime_error with a one-line message that names the path and the line but
// contains no part of a key.
std::vector<Key> ReadKeys(const std::string& path);

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SEALER_H_

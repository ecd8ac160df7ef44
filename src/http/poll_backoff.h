// Spreads the polls of many dispatchers over time. Discovery is one service for all dispatchers and serves
// polls one at a time, including polls whose caller has timed out. If dispatchers that start or lose their
// watches together all poll at once, discovery's queue fills with polls that are abandoned before they are
// served, and the retries keep it full. The backoff reads no clock and owns no socket.
#ifndef ALDERSILL_SRC_HTTP_POLL_BACKOFF_H_
#define ALDERSILL_SRC_HTTP_POLL_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "core/types.h"

namespace aldersill {

class PollBackoff {
 public:
  // `dispatchers`: the number of dispatchers that poll the same discovery, including this one. `max_delay`:
  // bound on the initial delay and on the delay of a retry, in microseconds; a retry may be delayed up to
  // twice as long if the retries of that many dispatchers would otherwise saturate discovery. `seed`: must
  // differ between dispatchers, or they poll in step.
  PollBackoff(int dispatchers, Micros max_delay, std::uint64_t seed)
      : initial_bound_(std::clamp<Micros>(dispatchers * kTimePerPoll, 1, std::max<Micros>(max_delay, 1))),
        max_retry_bound_(std::max({initial_bound_, std::min(max_delay, kMaxRetryDelay),
                                   std::min<Micros>(dispatchers * kTimePerPoll, 2 * max_delay)})),
        random_(seed) {}

  // The delay before a poll that does not follow a failure of this dispatcher alone: at its start, or after
  // the watches of all dispatchers have broken at once.
  Micros InitialDelay() { return Draw(0, initial_bound_); }
  // The same, but at most `longest`.
  Micros InitialDelay(Micros longest) { return Draw(0, std::min(initial_bound_, longest)); }
  // The delay before the retry of a failed poll, which is never 0. Its bound doubles with each consecutive
  // failure.
  Micros NextRetryDelay() {
    retry_bound_ = std::clamp(2 * retry_bound_, initial_bound_, max_retry_bound_);
    return Draw(retry_bound_ / 4, retry_bound_);
  }
  // To be called after a success: the next retry starts with the smallest bound.
  void Reset() { retry_bound_ = 0; }
  // A delay between half of `bound` and all of it, for polls and probes that put no load on discovery.
  Micros JitteredDelay(Micros bound) { return Draw(bound / 2, bound); }

 private:
  // The time that discovery is assumed to need for one poll, if its operator has sized it for the polls of
  // all dispatchers one after another.
  static constexpr Micros kTimePerPoll = 60 * kMillisecond;
  static constexpr Micros kMaxRetryDelay = 5 * kSecond;

  Micros Draw(Micros from, Micros to) { return std::uniform_int_distribution<Micros>(from, to)(random_); }

  Micros initial_bound_;
  Micros max_retry_bound_;
  Micros retry_bound_ = 0;
  std::mt19937_64 random_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_POLL_BACKOFF_H_

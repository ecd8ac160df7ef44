// Spreads the polls of many dispatchers over time. Discovery is one service for all dispatchers and works
// through polls in turn, including those whose caller has given up: dispatchers that start or lose their
// watch together, and all poll at once, fill it with polls that are abandoned before their turn comes, and
// their retries keep it full. Pure: no clock, no socket.
#ifndef ALDERSILL_SRC_HTTP_POLL_BACKOFF_H_
#define ALDERSILL_SRC_HTTP_POLL_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "core/types.h"

namespace aldersill {

class PollBackoff {
 public:
  // `dispatchers`: those that poll the same discovery, including this one. `max_delay`, in microseconds:
  // bounds the initial delay and that of a retry; where the retries of that many dispatchers alone would fill
  // discovery, a retry may take twice as long. `seed`: must differ between dispatchers, or they poll in step.
  PollBackoff(int dispatchers, Micros max_delay, std::uint64_t seed)
      : initial_bound_(std::clamp<Micros>(dispatchers * kTimePerPoll, 1, std::max<Micros>(max_delay, 1))),
        max_retry_bound_(std::max({initial_bound_, std::min(max_delay, kMaxRetryDelay),
                                   std::min<Micros>(dispatchers * kTimePerPoll, 2 * max_delay)})),
        random_(seed) {}

  // Before a poll that follows no failure of this dispatcher's own: at a start, or when a watch has broken
  // for all dispatchers at once.
  Micros InitialDelay() { return Draw(0, initial_bound_); }
  // The same, but at most `longest`.
  Micros InitialDelay(Micros longest) { return Draw(0, std::min(initial_bound_, longest)); }
  // Before the retry of a failed poll: the bound doubles with each failure in a row, and is never 0.
  Micros NextRetryDelay() {
    retry_bound_ = std::clamp(2 * retry_bound_, initial_bound_, max_retry_bound_);
    return Draw(retry_bound_ / 4, retry_bound_);
  }
  // After a success: the next retry begins with the smallest bound.
  void Reset() { retry_bound_ = 0; }
  // Between half of `bound` and all of it, where polls cost nothing.
  Micros JitteredDelay(Micros bound) { return Draw(bound / 2, bound); }

 private:
  // What discovery may need for one poll, as an operator would size it for the polls of all dispatchers one
  // after another.
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

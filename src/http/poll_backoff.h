// When a dispatcher may call discovery. Discovery is one service for all dispatchers and works through calls
// in turn, those too whose caller has given up by now: dispatchers that start or lose their watch together,
// and all call at once, fill it with calls that are dead before their turn comes, and their repeats keep it
// full. Pure: no clock, no socket.
#ifndef ALDERSILL_SRC_HTTP_POLL_BACKOFF_H_
#define ALDERSILL_SRC_HTTP_POLL_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "core/types.h"

namespace aldersill {

class PollBackoff {
 public:
  // `dispatchers`: that call the same discovery, this one included. `longest`: no first call is put off for
  // longer, in microseconds, and no repeat, but where that many fill discovery by their repeats alone, which
  // are all dead then: there it is twice as long. `seed`: must differ between dispatchers, or they call in
  // step.
  PollBackoff(int dispatchers, Micros longest, std::uint64_t seed)
      : spread_(std::clamp<Micros>(dispatchers * kCallTime, 1, std::max<Micros>(longest, 1))),
        longest_(std::max({spread_, std::min(longest, kLongestBackOff),
                           std::min<Micros>(dispatchers * kCallTime, 2 * longest)})),
        random_(seed) {}

  // Before a call that nothing failed before: at a start, or when a watch has broken for all at once.
  Micros InitialDelay() { return Draw(0, spread_); }
  // Before the repeat of a failed call: twice as long for each failure in a row, never at once.
  Micros NextRetryDelay() {
    back_off_ = std::clamp(2 * back_off_, spread_, longest_);
    return Draw(back_off_ / 4, back_off_);
  }
  void Reset() { back_off_ = 0; }
  // Where calls cost nothing: the later half of `bound`.
  Micros JitteredDelay(Micros bound) { return Draw(bound / 2, bound); }

 private:
  // What discovery may need for one call, as an operator would size it: all dispatchers' calls one after
  // another.
  static constexpr Micros kCallTime = 60 * kMillisecond;
  static constexpr Micros kLongestBackOff = 5 * kSecond;

  Micros Draw(Micros from, Micros to) { return std::uniform_int_distribution<Micros>(from, to)(random_); }

  const Micros spread_;
  const Micros longest_;
  Micros back_off_ = 0;
  std::mt19937_64 random_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_POLL_BACKOFF_H_

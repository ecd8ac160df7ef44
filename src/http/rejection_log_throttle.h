// What is told of the requests that a frontend answers itself: the first of each reason at once, then one
// notice a reason every so often, so that a client that gets all of its requests wrong is seen and floods no
// log. Pure: told the time, it logs nothing.
#ifndef ALDERSILL_SRC_HTTP_REJECTION_LOG_THROTTLE_H_
#define ALDERSILL_SRC_HTTP_REJECTION_LOG_THROTTLE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"

namespace aldersill {

class RejectionLogThrottle {
 public:
  static constexpr Micros kEvery = 10 * kSecond;

  struct Notice {
    int status = 0;
    std::string why;
    std::string example;      // the id of the last one that had any
    std::uint64_t count = 0;  // since the last notice of this reason
  };

  void Add(int status, const std::string& why, const std::string& id) {
    Reason& reason = reasons_[{status, why}];
    ++reason.count;
    if (!id.empty())
      reason.example = id;
  }

  // The notices that are due at `now`, or all that anything is left to tell of.
  std::vector<Notice> Take(Micros now, bool all) {
    std::vector<Notice> notices;
    for (auto& [key, reason] : reasons_) {
      if (reason.count == 0 || (!all && reason.told && now < *reason.told + kEvery))
        continue;
      notices.push_back({key.first, key.second, std::exchange(reason.example, ""), reason.count});
      reason.count = 0;
      reason.told = now;
    }
    return notices;
  }

  // How long after `now` Take has something again; nothing where all has been told.
  std::optional<Micros> NextIn(Micros now) const {
    std::optional<Micros> next;
    for (const auto& [key, reason] : reasons_) {
      if (reason.count == 0)
        continue;
      const Micros wait = reason.told ? std::max<Micros>(0, *reason.told + kEvery - now) : 0;
      next = std::min(next.value_or(wait), wait);
    }
    return next;
  }

 private:
  struct Reason {
    std::uint64_t count = 0;
    std::string example;
    std::optional<Micros> told;
  };
  // As many as the frontend has texts: no reason holds anything that a peer sent.
  std::map<std::pair<int, std::string>, Reason> reasons_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_REJECTION_LOG_THROTTLE_H_

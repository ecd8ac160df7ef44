// Limits the log lines about requests that the frontend rejects itself: the first of each reason at once,
// then one notice for each reason per interval, so that a client whose requests are all invalid is seen and
// does not flood the log. Pure: the time is passed in, and it writes no log.
#ifndef ALDERSILL_SRC_HTTP_REJECTION_LOG_THROTTLE_H_
#define ALDERSILL_SRC_HTTP_REJECTION_LOG_THROTTLE_H_

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
  static constexpr Micros kNoticeInterval = 10 * kSecond;

  struct Notice {
    int status = 0;
    std::string reason;
    std::string example_request_id;  // of the last request that had one
    std::uint64_t count = 0;         // since the last notice of this reason
  };
  enum class Selection {
    kDue,  // the interval of the reason has passed
    kAll,  // everything that was not reported yet
  };

  void Add(int status, const std::string& reason, const std::string& request_id);
  // Removes and returns notices, ordered by status and reason.
  std::vector<Notice> TakeNotices(Micros now, Selection selection);
  // How long after `now` a notice is due; nothing if all was reported.
  std::optional<Micros> TimeToNextNotice(Micros now) const;

 private:
  struct Unreported {
    std::uint64_t count = 0;
    std::string example_request_id;
    std::optional<Micros> last_notice_at;
  };
  // By status and reason. Reasons are texts of the frontend's own, never anything that a peer has sent, so
  // the map is bounded.
  std::map<std::pair<int, std::string>, Unreported> reasons_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_REJECTION_LOG_THROTTLE_H_

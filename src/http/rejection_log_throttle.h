// Limits the log lines about requests that the frontend itself rejects. The first rejection of each reason
// gives a notice at once; after that each reason gives at most one notice per interval. A client whose
// requests are all invalid is thus visible in the log and does not flood it. The class reads no clock and
// writes no log.
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
    std::string example_request_id;  // id of the last rejected request that had one
    std::uint64_t count = 0;         // rejections since the last notice of this reason
  };
  enum class Selection {
    kDue,  // the reasons whose interval has passed
    kAll,  // every reason with unreported rejections
  };

  // Counts a rejected request. `request_id` is empty if the request had none.
  void Add(int status, const std::string& reason, const std::string& request_id);
  // Removes and returns the selected notices, ordered by status and reason.
  std::vector<Notice> TakeNotices(Micros now, Selection selection);
  // Time from `now` until the next notice is due; nothing if every rejection was reported.
  std::optional<Micros> TimeToNextNotice(Micros now) const;

 private:
  // The rejections of one reason that were not reported yet.
  struct Unreported {
    std::uint64_t count = 0;
    std::string example_request_id;
    std::optional<Micros> last_notice_at;
  };
  // Keyed by status and reason. Reasons are fixed texts of the frontend and never contain anything that a
  // peer has sent, so the map is bounded.
  std::map<std::pair<int, std::string>, Unreported> reasons_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_REJECTION_LOG_THROTTLE_H_

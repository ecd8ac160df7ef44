#include "http/rejection_log_throttle.h"

#include <algorithm>

namespace aldersill {

void RejectionLogThrottle::Add(int status, const std::string& reason, const std::string& request_id) {
  Unreported& unreported = reasons_[{status, reason}];
  ++unreported.count;
  if (!request_id.empty())
    unreported.example_request_id = request_id;
}

std::vector<RejectionLogThrottle::Notice> RejectionLogThrottle::TakeNotices(Micros now, Selection selection) {
  std::vector<Notice> notices;
  for (auto& [key, unreported] : reasons_) {
    const bool due = selection == Selection::kAll || !unreported.last_notice_at ||
                     now >= *unreported.last_notice_at + kNoticeInterval;
    if (unreported.count == 0 || !due)
      continue;
    notices.push_back({.status = key.first,
                       .reason = key.second,
                       .example_request_id = std::exchange(unreported.example_request_id, ""),
                       .count = std::exchange(unreported.count, 0)});
    unreported.last_notice_at = now;
  }
  return notices;
}

std::optional<Micros> RejectionLogThrottle::TimeToNextNotice(Micros now) const {
  std::optional<Micros> next;
  for (const auto& [key, unreported] : reasons_) {
    if (unreported.count == 0)
      continue;
    const Micros wait = unreported.last_notice_at
                            ? std::max<Micros>(0, *unreported.last_notice_at + kNoticeInterval - now)
                            : 0;
    next = std::min(next.value_or(wait), wait);
  }
  return next;
}

}  // namespace aldersill

// The workers that an operator has banned.
#ifndef ALDERSILL_SRC_CORE_BAN_LIST_H_
#define ALDERSILL_SRC_CORE_BAN_LIST_H_

#include <set>
#include <string>

#include "core/events.h"

namespace aldersill {

class BanList {
 public:
  // Bans the worker or lifts its ban. Returns whether this changed the list.
  bool Apply(const WorkerBanned& ban) {
    return ban.banned ? workers_.insert(ban.worker).second : workers_.erase(ban.worker) > 0;
  }
  bool Contains(const std::string& worker) const { return workers_.contains(worker); }
  const std::set<std::string>& workers() const { return workers_; }

 private:
  std::set<std::string> workers_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_BAN_LIST_H_

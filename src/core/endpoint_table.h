// The workers that discovery and Faktory sessions list, and the lease of discovery's list.
#ifndef ALDERSILL_SRC_CORE_ENDPOINT_TABLE_H_
#define ALDERSILL_SRC_CORE_ENDPOINT_TABLE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/ban_list.h"
#include "core/dispatcher_instances.h"
#include "core/events.h"
#include "core/reduction_context.h"

namespace aldersill {

// Posts every change to the decision modules. After a change, the caller must end the unsent attempts to
// workers that are no longer available.
class EndpointTable {
 public:
  EndpointTable(ReductionContext& context, const BanList& bans, DispatcherInstances& dispatchers)
      : context_(context), bans_(bans), dispatchers_(dispatchers) {}

  void Apply(EndpointListUpdate&& update);
  void Apply(const EndpointListWatchFailed& failure);
  // Both return whether this call made discovery's list expire. Its workers get no new attempts then.
  bool Apply(EndpointListLease lease);
  bool ExpireIfDue();
  // Sets the timer again if the list has not expired.
  void HandleExpiryTimer(const TimerKey& key);
  // Posts the worker's state after it was banned or its ban was lifted.
  void PostBanChange(const std::string& worker);
  // Posts the list to a new decision module.
  void PostListTo(DispatcherGeneration generation);
  // Posts the list to a decision module that asks for it while there is no discovery. The workers of the
  // sessions make up the complete list then.
  void PostSessionListTo(DispatcherGeneration generation);

  // Returns null for an unknown worker.
  const WorkerEndpoint* Find(const std::string& worker) const;
  // Returns whether new attempts may go to the worker: it is ready and not banned, and its list has not
  // expired.
  bool IsAvailable(const WorkerEndpoint& worker) const;
  bool WasEverListed(const std::string& worker) const {
    return ever_listed_.contains(worker) || workers_.contains(worker);
  }
  // Returns whether the list has not expired and discovery, if configured, has sent it to this process.
  bool IsConfirmed() const { return !expired_ && (listed_by_discovery_ || !context_.settings.has_discovery); }
  const std::map<std::string, WorkerEndpoint>& workers() const { return workers_; }

 private:
  bool Expire();
  void MarkAllGone(WorkerEndpoint::Source source);
  // Stores the update's workers and returns them as a delta for the decision modules.
  dispatch::WorkerList Store(EndpointListUpdate&& update);
  void CountByState();
  void PostList();
  void PostUpdate(EndpointListUpdate::Form form, WorkerEndpoint::Source source, dispatch::WorkerList changes);
  dispatch::WorkerEntry EntryFor(const WorkerEndpoint& worker) const;
  dispatch::WorkerList ListAs(dispatch::WorkerList::Form form) const;

  ReductionContext& context_;
  const BanList& bans_;
  DispatcherInstances& dispatchers_;
  std::map<std::string, WorkerEndpoint> workers_;
  std::set<std::string> ever_listed_;  // names of workers, at most kMaxEverListed
  bool watched_ = false;               // discovery has sent its complete list and now sends changes
  bool listed_by_discovery_ = false;   // discovery has sent a list since the start
  Micros valid_until_ = EndpointListLease::kUnlimited;  // end of the lease of discovery's list
  bool expired_ = false;
  bool expiry_timer_set_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_ENDPOINT_TABLE_H_

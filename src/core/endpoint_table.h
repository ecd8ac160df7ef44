// The workers that discovery and Faktory sessions list, and for how long discovery's list may be acted on.
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

// Keeps the decision modules informed of every change. Attempts that are not sent yet are the caller's to
// end.
class EndpointTable {
 public:
  EndpointTable(ReductionContext& context, const BanList& bans, DispatcherInstances& dispatchers)
      : context_(context), bans_(bans), dispatchers_(dispatchers) {}

  void Apply(EndpointListUpdate&& update);
  void Apply(const EndpointListWatchFailed& failure);
  // These two return whether discovery's list has just expired: nothing new goes to its workers.
  bool Apply(EndpointListLease lease);
  bool ExpireIfDue();
  void HandleExpiryTimer(const TimerKey& key);
  // After a change of the worker's ban.
  void PostBanChange(const std::string& worker);
  // For a decision module that has just been made.
  void PostListTo(DispatcherGeneration generation);
  // A decision module asks for the list, and there is no discovery: the sessions' workers are all there are.
  void PostSessionListTo(DispatcherGeneration generation);

  // Null for an unknown worker.
  const WorkerEndpoint* Find(const std::string& worker) const;
  // Whether new attempts may go to the worker: it is ready, not banned, and its source's list is valid.
  bool IsAvailable(const WorkerEndpoint& worker) const;
  bool WasEverListed(const std::string& worker) const {
    return ever_listed_.contains(worker) || workers_.contains(worker);
  }
  // Whether the list may be acted on and discovery, where there is one, has listed it to this process.
  bool IsConfirmed() const { return !expired_ && (listed_by_discovery_ || !context_.settings.has_discovery); }
  const std::map<std::string, WorkerEndpoint>& workers() const { return workers_; }

 private:
  bool Expire();
  void MarkAllGone(WorkerEndpoint::Source source);
  // Returns the change as the decision modules get it.
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
  std::set<std::string> ever_listed_;  // kMaxEverListed at most
  bool watched_ = false;               // discovery sent its complete list and now sends the changes
  bool listed_by_discovery_ = false;   // at least once since the start
  Micros valid_until_ = EndpointListLease::kUnlimited;  // discovery's list
  bool expired_ = false;
  bool expiry_timer_set_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_ENDPOINT_TABLE_H_

// The reducer: turns the current time and an event into a change of state and the effects to carry out.
#ifndef ALDERSILL_SRC_CORE_REDUCER_H_
#define ALDERSILL_SRC_CORE_REDUCER_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/attempt_controller.h"
#include "core/ban_list.h"
#include "core/counters.h"
#include "core/dispatcher_instances.h"
#include "core/drain_schedule.h"
#include "core/endpoint_table.h"
#include "core/job_classes.h"
#include "core/job_id_registry.h"
#include "core/reduction_context.h"
#include "core/request_lifecycle.h"
#include "core/request_table.h"
#include "core/request_transfer.h"
#include "core/types.h"

namespace aldersill {

// Owns requests, attempts, the endpoint list and the decision modules, and does no I/O. Every change of the
// daemon's state goes through Reduce(); the same events at the same times give the same effects.
class Reducer {
 public:
  // Throws std::invalid_argument that names the invalid setting. Reduce() does the same for SettingsChanged.
  explicit Reducer(CoreSettings settings);
  // Neither copyable nor movable: the members hold references to one another.
  Reducer(const Reducer&) = delete;
  Reducer& operator=(const Reducer&) = delete;

  // Handles one event and appends the effects to `effects`, in the order in which they must be carried out.
  // If `now` is before the time of the previous event, that time is used instead.
  void Reduce(Micros now, Event event, std::vector<Effect>* effects);

  const Counters& counters() const { return context_.counters; }
  // Returns whether there are no requests and no attempts.
  bool IsIdle() const { return requests_.size() == 0 && attempts_.size() == 0; }
  const std::map<std::string, WorkerEndpoint>& endpoints() const { return endpoints_.workers(); }
  // Returns whether the worker has been listed since the start, or is banned.
  bool IsKnownWorker(const std::string& worker) const {
    return endpoints_.WasEverListed(worker) || bans_.Contains(worker);
  }
  // Returns the number of listed workers that get no new attempts now: they are banned, draining, on an
  // expired list, or ejected by the decision module.
  std::size_t AvoidedWorkers() const;
  // Returns the jobs that may be transferred to another process; see RequestTransfer.
  std::vector<InFlightJob> InFlightJobs() const { return transfer_.InFlightJobs(); }
  bool IsJobIdOpen(const std::string& id) const { return job_ids_.IsOpen(id); }
  const DrainSchedule& drain() const { return drain_; }
  const std::set<std::string>& banned() const { return bans_.workers(); }
  // Returns whether the endpoint list has not expired and discovery, if configured, has sent it to this
  // process.
  bool ListConfirmed() const { return endpoints_.IsConfirmed(); }

 private:
  void UseSettings(CoreSettings settings);
  void RunDispatchers();
  void UpdateGauges();

  // One overload for each event.
  void Apply(RequestReceived&& received) { lifecycle_.Apply(std::move(received)); }
  void Apply(const RequestRejectedByFrontend& rejected) { lifecycle_.Apply(rejected); }
  void Apply(const ClientLeft& left) { lifecycle_.Apply(left); }
  void Apply(const JobTransferred& transferred) { transfer_.Apply(transferred); }
  void Apply(JobReceived&& received) { transfer_.Apply(std::move(received)); }
  void Apply(const AttemptConnected& connected) { attempts_.Apply(connected); }
  void Apply(const AttemptSent& sent) { attempts_.Apply(sent); }
  void Apply(const AttemptProgress& progress) { attempts_.Apply(progress); }
  void Apply(AttemptEnded&& ended) { attempts_.Apply(std::move(ended)); }
  void Apply(const AbandonedAttemptEnded& ended) { attempts_.Apply(ended); }
  void Apply(const TimerDue& due);
  void Apply(EndpointListUpdate&& update);
  void Apply(const EndpointListWatchFailed& failure) { endpoints_.Apply(failure); }
  void Apply(const EndpointListLease& lease);
  void Apply(const ProbeCompleted& completed);
  void Apply(SettingsChanged&& changed);
  void Apply(const SettingsRefused& refused);
  void Apply(const WorkerBanned& ban);
  void Apply(const DrainStarted&) { drain_.Start(context_.now); }

  // One overload for each action of a decision module.
  void Perform(const dispatch::Send& send) { attempts_.Start(send); }
  void Perform(const dispatch::Cancel& cancel) { attempts_.Cancel(cancel); }
  void Perform(const dispatch::Reject& rejection) { lifecycle_.Reject(rejection); }
  void Perform(const dispatch::Fail& failure) { lifecycle_.Fail(failure); }
  void Perform(const dispatch::SetTimer& timer);
  void Perform(const dispatch::Probe& probe);
  void Perform(const dispatch::SubscribeList& subscription);
  void Perform(const dispatch::Log& line);

  AttemptController::Environment environment() {
    return {.context = context_,
            .classes = classes_,
            .dispatchers = dispatchers_,
            .endpoints = endpoints_,
            .requests = requests_,
            .job_ids = job_ids_,
            .drain = drain_};
  }

  ReductionContext context_;
  JobClasses classes_;
  BanList bans_;
  JobIdRegistry job_ids_;
  DrainSchedule drain_;
  DispatcherInstances dispatchers_;
  EndpointTable endpoints_{context_, bans_, dispatchers_};
  RequestTable requests_{context_};
  AttemptController attempts_{environment()};
  RequestLifecycle lifecycle_{environment(), attempts_};
  RequestTransfer transfer_{environment(), attempts_};
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_REDUCER_H_

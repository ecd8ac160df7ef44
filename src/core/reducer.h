// The one reducer: (now, event) -> state change + effects asked for. It wraps the decision module, owns
// requests, executions and the name table, and does no I/O. Every state change of the daemon goes through
// Reduce(); the same events at the same times give the same effects.
#ifndef ALDERSILL_SRC_CORE_REDUCER_H_
#define ALDERSILL_SRC_CORE_REDUCER_H_

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "core/counters.h"
#include "core/idempotency_tracker.h"
#include "core/types.h"

namespace aldersill {

class Reducer {
 public:
  explicit Reducer(CoreSettings settings);

  void Reduce(Micros now, Event event, std::vector<Effect>* effects);

  const Counters& counters() const { return counters_; }
  bool Quiet() const { return requests_.empty() && attempts_.empty(); }
  const std::map<std::string, WorkerEndpoint>& endpoints() const { return endpoints_; }
  // Whether the worker has been known since the start, or is banned.
  bool EverListed(const std::string& worker) const {
    return ever_listed_.contains(worker) || endpoints_.contains(worker) || banned_.contains(worker);
  }
  // Known workers that get nothing new now: banned, draining, or left alone by the decision module.
  std::size_t AvoidedWorkers() const;
  // Those of HTTP clients that have not been tried, or run at a worker of discovery's list.
  std::vector<InFlightJob> InFlightJobs() const;
  const std::set<std::string>& banned() const { return banned_; }
  // Whether the worker list may be acted on, and discovery, where there is one, has told it to this process.
  bool ListConfirmed() const { return !endpoint_list_expired_ && (heard_ || !settings_.has_discovery); }

 private:
  // Of an adopted job, on which no module decides: it is not tried again here.
  static constexpr std::uint64_t kNoDispatcher = std::numeric_limits<std::uint64_t>::max();

  struct Request {
    ClientRef client;
    std::shared_ptr<const Job> job;
    std::uint64_t module = 0;   // which one decides on it, from first to last
    int counter = 0;            // of its class, in counters_.classes
    bool may_have_run = false;  // of an adopted job, before it came here
    Micros taken = 0;
    Micros deadline = 0;
    Micros start_by = 0;   // of a repeat: the window of the run before, known by the job's own id
    Micros first_run = 0;  // hand-over of the first execution that may have run
    bool answered = false;
    std::vector<AttemptId> attempts;  // by attempt number
    int open = 0;
  };
  struct Attempt {
    std::uint64_t request = 0;
    int attempt_number = 0;
    std::string worker;
    WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
    Micros worker_started = 0;  // as told when it was sent
    Micros started_at = 0;
    Micros start_by = 0;  // no byte goes out from then on
    Micros give_up_at = 0;
    bool sent = false;
    Micros sent_at = 0;
  };

  void On(RequestReceived&& e);
  void On(RequestRejectedByFrontend&& e);
  void On(JobTransferred&& e);
  void On(JobReceived&& e);
  void On(ClientLeft&& e);
  void On(AttemptConnected&& e);
  void On(AttemptSent&& e);
  void On(AttemptProgress&& e);
  void On(AttemptEnded&& e);
  void On(AbandonedAttemptEnded&& e);
  void On(TimerDue&& e);
  void On(EndpointListUpdate&& e);
  void On(EndpointListWatchFailed&& e);
  void On(EndpointListLease&& e);
  void On(ProbeCompleted&& e);
  void On(SettingsChanged&& e);
  void On(SettingsRefused&& e);
  void On(WorkerBanned&& e);

  void Do(const dispatch::Send& a);
  void Do(const dispatch::Cancel& a);
  void Do(const dispatch::Refuse& a);
  void Do(const dispatch::Fail& a);
  void Do(const dispatch::SetTimer& a);
  void Do(const dispatch::Probe& a);
  void Do(const dispatch::SubscribeList& a);
  void Do(const dispatch::Log& a);

  // Settings read anew get a module of their own; the one before lives on until its last request is done.
  struct Module {
    dispatch::Dispatcher dispatcher;
    std::size_t open = 0;  // requests it decides on
  };
  void ApplySettings(CoreSettings settings);
  void PostToDispatcher(std::uint64_t module, dispatch::Event event) {
    dispatcher_events_.emplace_back(module, std::move(event));
  }
  void PostToDispatchers(const dispatch::Event& event) {
    for (const auto& [number, module] : modules_)
      PostToDispatcher(number, event);
  }
  void PostToDispatcherOf(const Request& r, dispatch::Event event) {
    if (r.module != kNoDispatcher)
      PostToDispatcher(r.module, std::move(event));
  }
  // The end of an adopted job whose attempt was not served: no module knows of it.
  void FinishReceived(std::uint64_t number, Outcome outcome);
  // Discovery's list may not be acted on any more: nothing new goes to its instances until it is good again.
  void ExpireEndpointList();
  // Ends what is decided but not handed over and may not go to its instance any more.
  void WithdrawLate();
  // What the module is told of an instance: one that cannot be vouched for wants nothing new.
  dispatch::WorkerEntry ModuleEntry(const WorkerEndpoint& i) const;
  bool MayGetNew(const WorkerEndpoint& i) const;
  // Whether an execution that is not handed over may still go to its instance. Not to one that has been
  // started anew meanwhile: it is cold, and what cold ones may get is the module's to say.
  bool MayStillGo(const Attempt& x) const;
  void End(AttemptId number, Outcome outcome, std::string result, LoadReport report, bool stop);
  void Finish(std::uint64_t number, FinalAnswer answer);
  // Ends what has not been handed over, whether or not cancels are allowed: it never ran, and must not now.
  void Withdraw(const std::vector<AttemptId>& attempts);
  // Of a request that is answered or whose client has left: only what was handed over goes on.
  void ForgetIfDone(std::uint64_t number);
  dispatch::WorkerList SnapshotFor(dispatch::WorkerList::Form form) const;
  void Emit(Effect effect) { effects_->push_back(std::move(effect)); }

  CoreSettings settings_;
  std::map<std::uint64_t, Module> modules_;  // the last is the one for new requests
  std::uint64_t acting_ = 0;                 // the one whose actions are being carried out
  bool watched_ = false;                     // discovery's list came whole, and its changes come
  Micros endpoint_list_valid_until_ = EndpointListLease::kForEver;  // discovery's list
  bool heard_ = false;                  // discovery has told of its list since the start
  bool endpoint_list_expired_ = false;  // that time is over
  bool expiry_timer_set_ = false;       // one is set for it
  Micros now_ = 0;
  std::vector<Effect>* effects_ = nullptr;
  std::deque<std::pair<std::uint64_t, dispatch::Event>> dispatcher_events_;
  std::vector<dispatch::Action> actions_;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_attempt_ = 1;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::map<ClientRef, std::uint64_t> by_client_;  // those still owed an answer
  std::map<AttemptId, Attempt> attempts_;
  // Given up on, yet out at instances that cannot be told to stop, with the ids of their jobs.
  std::map<AttemptId, std::string> abandoned_attempts_;
  std::map<std::string, WorkerEndpoint> endpoints_;
  std::set<std::string> ever_listed_;  // kMostEverListed at most
  std::set<std::string> banned_;
  struct Class {
    int setting = 0;  // in settings_.module.classes
    int counter = 0;  // in counters_.classes
  };
  std::unordered_map<std::string, Class> class_of_;
  IdempotencyTracker repeats_;
  RecentRequestIds recent_ids_;
  Counters counters_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_REDUCER_H_

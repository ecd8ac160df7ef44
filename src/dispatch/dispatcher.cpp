// Implementation of Dispatcher: passes each event to the modules that decide on it, in a fixed order, and
// tracks each request from its arrival to its final answer. docs/design.md lists the modules.
#include "aldersill/dispatch/dispatcher.h"

#include <cstddef>
#include <utility>
#include <variant>

#include "dispatch/cancellation.h"
#include "dispatch/context.h"
#include "dispatch/endpoint_list_polling.h"
#include "dispatch/fleet.h"
#include "dispatch/job_pricing.h"
#include "dispatch/key_popularity.h"
#include "dispatch/outcome_learning.h"
#include "dispatch/outlier_ejection.h"
#include "dispatch/rate_control.h"
#include "dispatch/request.h"
#include "dispatch/retry_policy.h"
#include "dispatch/run_times.h"
#include "dispatch/slow_start.h"
#include "dispatch/throttle.h"
#include "dispatch/unresponsive_workers.h"
#include "dispatch/worker_estimates.h"
#include "dispatch/worker_selection.h"

namespace aldersill::dispatch {

class Dispatcher::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed);

  void Handle(Micros now, const Event& event, std::vector<Action>* actions);
  bool IsEjected(const std::string& worker) const { return fleet_.IsEjected(worker, context_.now()); }

 private:
  void Begin();
  void IssueDueTokens();

  void Apply(const WorkerList& list);
  void Apply(const Arrival& arrival);
  void Apply(const StreamStarted& started);
  void Apply(const Progress& progress);
  void Apply(const AttemptEnded& ended);
  void Apply(const ClientGone& gone);
  void Apply(const TimerFired& timer);
  void Apply(const ProbeDone& probe);

  void Admit(Request* request);
  void SendAttempt(Request* request);
  void SendNextAttempt(Request* request, const Attempt& failed);
  void Finish(Request* request);
  void RejectOverdueJobs(int tenant);
  void ProbeForReport();

  static constexpr int kUnknownClass = -1;  // stands for the index of a class that the settings lack

  Context context_;
  NameIndex class_names_;
  RequestTable requests_;
  KeyPopularity keys_;
  Fleet fleet_;
  RunTimes run_times_;
  JobPricing pricing_;
  RateControl rate_;
  Throttle throttle_;
  SlowStart slow_start_;
  WorkerEstimates estimates_;
  OutlierEjection ejection_;
  OutcomeLearning outcomes_;
  UnresponsiveWorkers unresponsive_workers_;
  WorkerSelection selection_;
  EndpointListPolling list_polling_;
  bool has_begun_ = false;  // whether the first event has been handled
};

Dispatcher::Impl::Impl(Settings settings, std::uint64_t seed)
    : context_(std::move(settings), seed),
      fleet_(context_.settings()),
      run_times_(context_.settings().classes),
      pricing_(context_.settings(), run_times_),
      rate_(context_, fleet_, pricing_),
      throttle_(context_, requests_, rate_, pricing_),
      slow_start_(context_, fleet_, run_times_, pricing_),
      estimates_(context_, fleet_, run_times_),
      ejection_(context_, fleet_),
      outcomes_(context_, fleet_, run_times_, estimates_, ejection_, rate_),
      unresponsive_workers_(context_, fleet_, run_times_, throttle_, ejection_),
      selection_(context_, fleet_, run_times_, keys_, estimates_, ejection_, slow_start_),
      list_polling_(context_) {
  for (const ClassSettings& job_class : context_.settings().classes)
    class_names_.emplace(job_class.name, static_cast<int>(class_names_.size()));
}

void Dispatcher::Impl::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  context_.BeginEvent(now, actions);
  // An event is applied before the tokens that became due up to its time are issued, because these tokens
  // release buffered jobs, and the event may report that the client of such a job or a worker is gone. An
  // arrival is applied last, after the jobs that were buffered before it.
  const auto* arrival = std::get_if<Arrival>(&event);
  if (arrival == nullptr)
    std::visit([this](const auto& fields) { Apply(fields); }, event);
  if (!has_begun_)
    Begin();
  IssueDueTokens();
  for (int tenant = 0; tenant < throttle_.tenants(); ++tenant)
    RejectOverdueJobs(tenant);
  if (arrival != nullptr)
    Apply(*arrival);
  throttle_.ScheduleWakeUp();
}

// Initializes the modules whose state depends on the time of the first event or on the worker list that it
// may carry.
void Dispatcher::Impl::Begin() {
  has_begun_ = true;
  slow_start_.Begin();
  rate_.Begin();
  throttle_.Begin();
  list_polling_.Begin();
}

// Issues the tokens that are due and sends the buffered jobs that they pay for.
void Dispatcher::Impl::IssueDueTokens() {
  throttle_.ForgetOldTokens();
  while (throttle_.IsTokenDue()) {
    Request* paid_request = throttle_.IssueToken();
    if (paid_request != nullptr)
      SendAttempt(paid_request);
  }
}

// Rejects the tenant's jobs that have been buffered for too long.
void Dispatcher::Impl::RejectOverdueJobs(int tenant) {
  // Finish removes the job from the buffer. The tokens paid for it may then pay for jobs ahead of it, which
  // leave the buffer too.
  const auto& buffered = throttle_.buffered(tenant);
  for (std::size_t i = buffered.size(); i-- > 0;) {
    if (i >= buffered.size())
      continue;
    Request& request = requests_.At(buffered[i]);
    if (throttle_.IsOverdue(request))
      Finish(&request);
  }
}

// ---- Requests ----

void Dispatcher::Impl::Apply(const Arrival& arrival) {
  if (requests_.Contains(arrival.request))
    return;
  const int job_class = IndexOf(class_names_, arrival.job_class, kUnknownClass);
  // Nothing was sent, so the client may safely try elsewhere.
  if (job_class == kUnknownClass || arrival.time_left <= 0)
    return context_.Emit(Reject{arrival.request});
  Request& request = requests_.Add(arrival.request);
  request.job_class = job_class;
  request.tenant = throttle_.TenantOf(arrival.tenant);
  request.slots = std::max(1, arrival.slots);
  request.arrived = context_.now();
  request.deadline = context_.now() + arrival.time_left;
  request.key = arrival.key;
  if (request.key)
    keys_.Record(*request.key);
  context_.StartTimer(arrival.time_left, TimerKind::kDeadline, request.id);
  ProbeForReport();
  Admit(&request);
}

// Sends, buffers or rejects a request that has just arrived.
void Dispatcher::Impl::Admit(Request* request) {
  request->price = pricing_.PriceArrival(*request);
  rate_.RecordArrival(request->price);
  switch (throttle_.Admit(request)) {
    case Throttle::Admission::kPaid:
      return SendAttempt(request);
    case Throttle::Admission::kRejected:
      return Finish(request);
    case Throttle::Admission::kBuffered:
      return;
  }
}

// Sends the request to the best worker. If there is none, the request ends unless an attempt is still open.
void Dispatcher::Impl::SendAttempt(Request* request) {
  const Micros start_by = LatestAttemptStart(context_.settings(), *request);
  const int index = context_.now() < start_by ? selection_.Select(*request) : kNoWorker;
  if (index == kNoWorker) {
    if (!request->HasOpenAttempt())
      Finish(request);
    return;
  }
  fleet_.RecordSent(index, request->slots, request->key);
  request->attempts.push_back(Attempt{.worker = index, .sent = context_.now()});
  context_.Emit(Send{.request = request->id, .worker = fleet_.worker(index).name, .start_by = start_by});
  unresponsive_workers_.WatchAttempt(*request);
}

// Gives the request its final answer unless it has one or its client is gone, cancels its open attempts, and
// erases it unless outcomes of attempts are still to come.
void Dispatcher::Impl::Finish(Request* request) {
  if (!std::exchange(request->ended, true)) {
    if (IsRejectionSafe(context_.settings(), *request))
      context_.Emit(Reject{.request = request->id, .retry_after = throttle_.RetryAfter(*request)});
    else
      context_.Emit(Fail{.request = request->id});
  }
  // The tokens already paid for a buffered job are used for the tenant's other jobs.
  for (int paid_tokens = throttle_.RemoveFromBuffer(*request); paid_tokens > 0; --paid_tokens) {
    Request* next = throttle_.AddToken(request->tenant);
    if (next != nullptr)
      SendAttempt(next);
  }
  CancelOpenAttempts(context_, request, nullptr);
  if (!request->HasOpenAttempt())
    requests_.Erase(request->id);
}

void Dispatcher::Impl::Apply(const StreamStarted& started) {
  if (requests_.FindOpenAttempt(started.request, started.attempt_number) != nullptr)
    requests_.At(started.request).streaming = true;
  Apply(Progress{.request = started.request, .attempt_number = started.attempt_number, .started = true});
}

void Dispatcher::Impl::Apply(const Progress& progress) {
  Attempt* attempt = requests_.FindOpenAttempt(progress.request, progress.attempt_number);
  if (attempt == nullptr || attempt->started != 0)
    return;
  Request& request = requests_.At(progress.request);
  const bool is_first = !request.HasStarted();
  attempt->started = context_.now();
  outcomes_.RecordStart(request, *attempt);
  if (is_first && !request.ended)
    CancelOpenAttempts(context_, &request, attempt);
}

void Dispatcher::Impl::Apply(const AttemptEnded& ended) {
  Attempt* attempt = requests_.FindOpenAttempt(ended.request, ended.attempt_number);
  if (attempt == nullptr)
    return;
  Request& request = requests_.At(ended.request);
  attempt->open = false;
  attempt->may_have_run = ended.outcome != Outcome::kRejected && ended.outcome != Outcome::kConnectFailed &&
                          ended.outcome != Outcome::kNotSent;
  fleet_.RecordEnded(attempt->worker, request.slots);
  estimates_.RecordReport(attempt->worker, ended.report);
  outcomes_.RecordOutcome(request, *attempt, ended.outcome);
  request.ended = request.ended || ended.request_ended;
  if (request.ended || context_.now() >= request.deadline)
    return Finish(&request);
  if (!request.HasOpenAttempt())
    SendNextAttempt(&request, *attempt);
}

// Sends the request again after a failed attempt, or finishes it. If that attempt may have run, the price
// must be paid again, so that retries of failed attempts cannot add to an overload.
void Dispatcher::Impl::SendNextAttempt(Request* request, const Attempt& failed) {
  if (failed.may_have_run) {
    if (!throttle_.CanPay(*request) || !MayStartAttempt(context_.settings(), *request, context_.now()))
      return Finish(request);
    throttle_.Pay(*request);
  }
  SendAttempt(request);
}

void Dispatcher::Impl::Apply(const ClientGone& gone) {
  Request* request = requests_.Find(gone.request);
  if (request == nullptr)
    return;
  request->ended = true;
  Finish(request);
}

void Dispatcher::Impl::Apply(const TimerFired& timer) {
  const TimerKind kind = Context::KindOf(timer);
  if (kind == TimerKind::kListPoll)
    return list_polling_.Poll();
  Request* request = requests_.Find(Context::RequestOf(timer));
  if (request == nullptr)
    return;
  if (kind == TimerKind::kAnswerOverdue)
    return unresponsive_workers_.CheckAttempts(request);
  if (kind == TimerKind::kDeadline && !request->streaming && context_.now() >= request->deadline)
    Finish(request);
}

// ---- Workers ----

// Probes one random worker for each arrival if workers send load reports only with probes. It is one probe
// whatever the size of the job, because the price of a probe does not depend on it. A quarter of the probes
// go to a worker of any zone, the others to one of the home zone.
void Dispatcher::Impl::ProbeForReport() {
  const bool any_zone = context_.random().Draw(4) == 0;
  const WorkerPool& pool = any_zone ? fleet_.All(-1) : fleet_.InZone(-1, fleet_.home());
  const Settings& settings = context_.settings();
  if (!settings.probes || settings.reports != Settings::Reports::kProbesOnly || pool.empty())
    return;
  const int index = pool[context_.random().Draw(pool.size())];
  context_.Emit(Probe{fleet_.worker(index).name});
}

void Dispatcher::Impl::Apply(const ProbeDone& probe) {
  const int index = fleet_.Find(probe.worker);
  if (index == kNoWorker || probe.outcome != Outcome::kServed)
    return;
  estimates_.RecordReport(index, probe.report);
  // The worker answers jobs of other nodes, so this node's unanswered jobs are waiting in its queue.
  if (probe.report.served_per_s.value_or(0.0) > 0.0)
    fleet_.worker(index).answered_at = context_.now();
}

void Dispatcher::Impl::Apply(const WorkerList& list) {
  list_polling_.RecordList(list.form);
  if (list.form == WorkerList::Form::kFailed)
    return;
  fleet_.Apply(list);
  slow_start_.UpdateWorkers();
}

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}
bool Dispatcher::IsEjected(const std::string& worker) const { return impl_->IsEjected(worker); }

}  // namespace aldersill::dispatch

// The vocabulary of the core: what frontends and links tell it (events) and what it asks of them (effects).
// Nothing here names a wire, a socket, JSON or a clock.
#ifndef ALDERSILL_SRC_CORE_TYPES_H_
#define ALDERSILL_SRC_CORE_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill {

using dispatch::LoadReport;
using dispatch::Micros;
using dispatch::Outcome;

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// A service client's request at the frontend that took it. The frontend chooses `number`; the core hands it
// back.
struct ClientRef {
  enum class Frontend { kHttp, kFaktory } frontend = Frontend::kHttp;
  std::uint64_t number = 0;
  auto operator<=>(const ClientRef&) const = default;
};

enum class AttemptId : std::uint64_t {};  // one attempt, over the life of the process

// What a service client asked for, decoded once by its frontend and encoded once by the link that runs it.
struct Job {
  std::string id;  // the client's own: Req-Id, jid
  std::string job_class;
  std::string tenant;
  std::optional<std::uint64_t> subject;  // what the request is about: requests of one subject share data
  std::string idempotency_key;
  bool has_idempotent_id =
      false;  // true where `id` outlives one try, so that the class's repeat rule binds it
  std::string method = "POST";
  std::string target;
  std::string content_type;
  std::string body;
  Micros time_left = 0;  // until the client gives up
  std::optional<Micros> work;
  int slots = 1;
  bool is_retry = false;
};

// An entry of the name table.
struct WorkerEndpoint {
  using State = dispatch::WorkerEntry::State;
  enum class Source { kDiscovery, kSession };  // told by discovery, or by a worker's own session here
  std::string name;
  std::string address;
  std::string zone;
  std::string kind;
  int cell = 0;
  State state = State::kReady;
  double weight = 1.0;
  Micros started = 0;  // 0 for long ago
  Source source = Source::kDiscovery;
};

// What the core is told of its settings, at the start and again whenever the configuration is read anew.
struct CoreSettings {
  dispatch::Settings dispatcher;
  bool dispatcher_changed =
      true;  // against those before: a module with what it has learnt is not given up for nothing
  std::uint64_t seed = 0;
  bool has_discovery = true;
  Micros dial_timeout = 250 * kMillisecond;     // to hand an execution to an instance that listens
  Micros fetch_timeout = 1'000 * kMillisecond;  // and to one that fetches
  // Taken off what the client says it will wait: the answer still has to travel.
  Micros answer_margin = 20 * kMillisecond;
};

// ---- Events ----

struct SettingsChanged {
  CoreSettings settings;
};

struct SettingsRefused {};  // a configuration that was read anew and not taken over

// By hand: nothing new goes to the worker, whatever its source says of it, until this is taken back.
struct WorkerBanned {
  std::string worker;
  bool banned = true;
};

struct RequestReceived {
  ClientRef client;
  Job job;
};
struct RequestRejectedByFrontend {  // answered by its frontend, which could read no job off it
  ClientRef::Frontend frontend = ClientRef::Frontend::kHttp;
  int status = 400;
  std::string why;
  std::string id;  // empty where none was read
};
// Another process of this dispatcher has the job now, and answers it.
struct JobTransferred {
  ClientRef client;
};
// A job that another process of this dispatcher had in hand, with an attempt that its worker has whole. It is
// carried on by ResumeAttempt under the same number.
struct JobReceived {
  ClientRef client;
  Job job;
  std::string worker;
  bool may_have_run = false;  // by an attempt before this one
  std::uint64_t resume = 0;
};
struct ClientLeft {
  ClientRef client;
};
struct AttemptConnected {  // the instance can be written to, and nothing has been
  AttemptId attempt{};
};
struct AttemptSent {  // the instance has the whole request: it may run from here on
  AttemptId attempt{};
};
struct AttemptProgress {
  AttemptId attempt{};
  bool started = false;
  double share = 0.0;
};
struct AttemptEnded {
  AttemptId attempt{};
  Outcome outcome = Outcome::kServed;
  std::string result;
  LoadReport report;
};
struct AbandonedAttemptEnded {  // one that was given up on has ended after all, at an instance that cannot be
                                // told to stop
  AttemptId attempt{};
};
struct TimerKey {
  enum class Wait { kDispatcher, kSendDeadline, kGiveUp, kEndpointListExpiry } wait = Wait::kDispatcher;
  std::uint64_t id = 0;
  std::uint64_t dispatcher = 0;  // kDispatcher: which one, in the order of their settings
  auto operator<=>(const TimerKey&) const = default;
};
struct TimerDue {
  TimerKey key;
};
struct EndpointListUpdate {
  // kCached: a whole list, kDeltaFromPreviousSource: changes, of a source that is not watched (any more).
  enum class Form { kDelta, kSnapshot, kCached, kDeltaFromPreviousSource } form = Form::kSnapshot;
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  std::vector<WorkerEndpoint> workers;
};
struct EndpointListWatchFailed {};
// For so long from now discovery's list may be acted on; not above 0: what it does not tell any more may
// count as told already. Where this is never told, the list is good for ever.
struct EndpointListLease {
  static constexpr Micros kForEver = Micros{1} << 60;
  Micros remaining = 0;
};
struct ProbeCompleted {
  std::string worker;
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};
using Event = std::variant<RequestReceived, JobTransferred, JobReceived, RequestRejectedByFrontend,
                           ClientLeft, AttemptConnected, AttemptSent, AttemptProgress, AttemptEnded,
                           AbandonedAttemptEnded, TimerDue, EndpointListUpdate, EndpointListWatchFailed,
                           EndpointListLease, ProbeCompleted, SettingsChanged, SettingsRefused, WorkerBanned>;

// ---- Effects ----

struct StartAttempt {
  AttemptId attempt{};
  std::string worker;
  std::string address;
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  std::shared_ptr<const Job> job;
  Micros time_left = 0;
  ClientRef client{};  // whom it is for
};
struct ResumeAttempt {  // of JobReceived
  AttemptId attempt{};
  std::shared_ptr<const Job> job;
  std::uint64_t resume = 0;
};
struct SendAttempt {  // one that has connected: its first byte may go out now, and at no later time
  AttemptId attempt{};
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  Micros time_left = 0;
};
struct StopAttempt {
  AttemptId attempt{};
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
};
struct Served {
  std::string result;
};
struct Rejection {  // trying again is harmless, and welcome after this long
  // What the core knows of the refusal; why the module holds a job back is the module's own.
  enum class Why {
    kNothingSent,
    kNoWorker,
    kAfterAttempts,
    kAbandonedAttemptRunning
  } why = Why::kNothingSent;
  Micros retry_after = 0;
};
struct Failure {
  enum class Why { kFailed, kTooLate, kRepeat } why = Why::kFailed;
};
using FinalAnswer = std::variant<Served, Rejection, Failure>;
struct Answer {
  ClientRef client;
  FinalAnswer answer;
};
struct SetTimer {
  TimerKey key;
  Micros delay = 0;
};
struct ClearTimer {
  TimerKey key;
};
struct ProbeWorker {
  std::string worker;
  std::string address;
};
struct WatchEndpointList {};
struct LogLine {
  std::string text;
};
using Effect = std::variant<StartAttempt, ResumeAttempt, SendAttempt, StopAttempt, Answer, SetTimer,
                            ClearTimer, ProbeWorker, WatchEndpointList, LogLine>;

// A job as it could be handed to another process of this dispatcher.
struct InFlightJob {
  ClientRef client;
  std::shared_ptr<const Job> job;
  Micros time_left = 0;
  bool may_have_run = false;         // before the attempt that runs now
  std::optional<AttemptId> running;  // nothing where it has not been tried
  std::string worker;                // that runs it
};

// Takes events in; handed to every frontend and link, so that none of them knows the reducer or another.
class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void Post(Event event) = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_TYPES_H_

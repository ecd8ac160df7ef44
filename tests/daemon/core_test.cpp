// The reducer without sockets: events at given times, and the effects it asks for.
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

#include "cluster/objects.h"
#include "core/reducer.h"
#include "snmp/objects.h"

namespace aldersill {
namespace {

constexpr Micros kStart = 1'000'000 * kSecond;

CoreSettings Settings() {
  CoreSettings s;
  s.dispatcher.classes = {
      {.name = "safe", .target = 400'000, .deadline = 5 * kSecond, .repeat = dispatch::Repeat::kRepeatable},
      {.name = "keyed",
       .target = 400'000,
       .deadline = 5 * kSecond,
       .repeat = dispatch::Repeat::kKeyed,
       .window = kSecond},
      {.name = "once", .target = 400'000, .deadline = 5 * kSecond}};
  s.dispatcher.subscribe = true;
  s.dispatcher.cancel = true;
  s.dispatcher.max_attempts = 5;
  s.dispatcher.retry_after = true;
  s.dispatcher.tenants = {{.name = "t", .quota_per_s = 1000.0}};
  return s;
}

class Bench {
 public:
  explicit Bench(CoreSettings settings = Settings()) : core_(std::move(settings)) {
    Post(EndpointListUpdate{
        EndpointListUpdate::Form::kCached, WorkerEndpoint::Source::kDiscovery, {Worker("a")}});
  }

  static WorkerEndpoint Worker(const std::string& name,
                               WorkerEndpoint::State state = WorkerEndpoint::State::kReady) {
    WorkerEndpoint i;
    i.name = name;
    i.address = name + ":1";
    i.state = state;
    return i;
  }
  void Post(Event event, Micros after = kMillisecond) {
    now_ += after;
    effects_.clear();
    core_.Reduce(now_, std::move(event), &effects_);
  }
  void Ask(std::uint64_t client, const std::string& job_class, const std::string& id = "",
           Micros time_left = kSecond) {
    Job job;
    job.id = id;
    job.has_idempotent_id = !id.empty();
    job.job_class = job_class;
    job.tenant = "t";
    job.time_left = time_left;
    Post(RequestReceived{{ClientRef::Frontend::kHttp, client}, job});
  }
  void News(EndpointListUpdate::Form form, std::vector<WorkerEndpoint> workers) {
    Post(EndpointListUpdate{form, WorkerEndpoint::Source::kDiscovery, std::move(workers)});
  }
  template <typename T>
  std::vector<T> Effects() const {
    std::vector<T> all;
    for (const Effect& e : effects_) {
      if (const auto* one = std::get_if<T>(&e))
        all.push_back(*one);
    }
    return all;
  }
  template <typename T>
  T Only() const {
    REQUIRE(Effects<T>().size() == 1);
    return Effects<T>().front();
  }
  Reducer& core() { return core_; }

 private:
  Reducer core_;
  Micros now_ = kStart;
  std::vector<Effect> effects_;
};

TEST_CASE("a request is answered once, whatever comes after") {
  Bench b;
  b.Ask(1, "safe");
  const auto start = b.Only<StartAttempt>();
  CHECK(start.address == "a:1");
  CHECK(start.time_left <= kSecond - 20 * kMillisecond);  // the answer still has to travel
  b.Post(AttemptSent{start.attempt});
  b.Post(AttemptEnded{start.attempt, Outcome::kServed, "r", {}});
  CHECK(std::get<Served>(b.Only<Answer>().answer).result == "r");
  CHECK(b.core().Quiet());
  b.Post(AttemptEnded{start.attempt, Outcome::kLost, "", {}});
  b.Post(ClientLeft{{ClientRef::Frontend::kHttp, 1}});
  CHECK(b.Effects<Answer>().empty());
}

TEST_CASE("what a discovery that was left still tells holds, and keeps nobody from asking the new one") {
  Bench b;
  b.News(EndpointListUpdate::Form::kSnapshot, {Bench::Worker("a"), Bench::Worker("b")});
  b.Post(EndpointListWatchFailed{});  // the first call to the new one
  const auto timers = b.Effects<SetTimer>();
  b.News(EndpointListUpdate::Form::kDeltaFromPreviousSource,
         {Bench::Worker("a", WorkerEndpoint::State::kDraining)});
  for (std::uint64_t client = 1; client <= 8; ++client) {
    b.Ask(client, "once");
    CHECK(b.Only<StartAttempt>().worker == "b");
  }
  std::size_t watches = 0;
  for (const SetTimer& timer : timers) {
    b.Post(TimerDue{timer.key}, timer.delay);
    watches += b.Effects<WatchEndpointList>().size();
  }
  CHECK(watches == 1);
}

TEST_CASE("an execution not yet handed over never reaches an instance told to drain") {
  Bench b;
  b.Ask(1, "once");
  const auto start = b.Only<StartAttempt>();
  b.News(EndpointListUpdate::Form::kDelta,
         {Bench::Worker("a", WorkerEndpoint::State::kDraining), Bench::Worker("b")});
  CHECK(b.Only<StopAttempt>().attempt == start.attempt);
  CHECK(b.Only<StartAttempt>().worker == "b");  // it never ran, so even this class goes elsewhere
}

TEST_CASE("an execution not yet handed over never reaches an instance that has been started anew") {
  Bench b;
  b.Ask(1, "once");
  const auto start = b.Only<StartAttempt>();
  WorkerEndpoint again = Bench::Worker("a");
  b.News(EndpointListUpdate::Form::kDelta, {again, Bench::Worker("b")});  // news of no such thing
  CHECK(b.Effects<StopAttempt>().empty());
  again.started = kStart;
  b.News(EndpointListUpdate::Form::kDelta, {again});
  CHECK(b.Only<StopAttempt>().attempt == start.attempt);
  CHECK(b.Only<StartAttempt>().worker == "b");
}

TEST_CASE(
    "where news may count as told that has not come, nothing new goes out until the list is good again") {
  Bench b;
  b.Post(EndpointListLease{3 * kSecond});
  const auto timer = b.Only<SetTimer>();
  b.Ask(1, "once");
  const auto sent = b.Only<StartAttempt>();
  b.Post(AttemptSent{sent.attempt});
  b.Ask(2, "safe");
  const auto connecting = b.Only<StartAttempt>();
  SUBCASE("by the timer") {
    b.Post(EndpointListLease{kSecond});  // sooner than the timer, later than when it was told before
    b.Post(EndpointListLease{2 * kSecond}, 900 * kMillisecond);
    b.Post(TimerDue{timer.key}, 1'999 * kMillisecond);
    CHECK(b.Effects<StopAttempt>().empty());
    b.Post(TimerDue{timer.key}, b.Only<SetTimer>().delay);
    // A connection that comes up late must not send. It never ran, and trying again later is harmless.
    CHECK(b.Only<StopAttempt>().attempt == connecting.attempt);
  }
  SUBCASE("by an event that is there before the timer") {
    b.Post(ClientLeft{{ClientRef::Frontend::kHttp, 9}}, 3 * kSecond);
    CHECK(b.Only<StopAttempt>().attempt == connecting.attempt);
  }
  SUBCASE("at once") {
    b.Post(EndpointListLease{0});
    CHECK(b.Only<StopAttempt>().attempt == connecting.attempt);
  }
  for (const char* job_class : {"safe", "keyed", "once"}) {
    b.Ask(3, job_class);
    CHECK(b.Effects<StartAttempt>().empty());
    CHECK(std::get<Rejection>(b.Only<Answer>().answer).retry_after > 0);
  }
  b.News(EndpointListUpdate::Form::kCached,
         {Bench::Worker("a"), Bench::Worker("b")});  // of a source that was left
  b.Ask(4, "safe");
  CHECK(b.Effects<StartAttempt>().empty());
  b.News(EndpointListUpdate::Form::kSnapshot, {Bench::Worker("b")});
  b.Post(EndpointListLease{kSecond});
  b.Ask(5, "safe");
  CHECK(b.Only<StartAttempt>().worker == "b");
  b.Post(AttemptEnded{sent.attempt, Outcome::kServed, "r", {}});
  CHECK(std::get<Served>(b.Only<Answer>().answer).result == "r");
}

TEST_CASE("a hand-over that is told just when the list becomes too old is one: it may run") {
  Bench b;
  b.Post(EndpointListLease{kSecond});
  b.Ask(1, "once", "", 5 * kSecond);
  const auto start = b.Only<StartAttempt>();
  b.Post(AttemptConnected{start.attempt}, 999 * kMillisecond - 1);
  CHECK(b.Only<SendAttempt>().attempt == start.attempt);
  b.Post(AttemptSent{start.attempt});  // the first that is told after that time
  CHECK(b.Effects<StopAttempt>().empty());
  CHECK(b.Effects<Answer>().empty());
  b.Post(AttemptEnded{start.attempt, Outcome::kLost, "", {}}, 0);
  CHECK(std::holds_alternative<Failure>(b.Only<Answer>().answer));
}

TEST_CASE("what was handed over stays where it is, and the class that must run once is not sent again") {
  Bench b;
  b.Ask(1, "once");
  const auto start = b.Only<StartAttempt>();
  b.Post(AttemptSent{start.attempt});
  b.News(EndpointListUpdate::Form::kSnapshot, {Bench::Worker("b")});  // "a" is gone from the whole list
  CHECK(b.Effects<StopAttempt>().empty());
  b.Post(AttemptEnded{start.attempt, Outcome::kLost, "", {}});
  CHECK(b.Effects<StartAttempt>().empty());
  CHECK(std::holds_alternative<Failure>(b.Only<Answer>().answer));
}

TEST_CASE(
    "not handed over in time: could not connect, and the next attempt only after the first is stopped") {
  Bench b;
  b.News(EndpointListUpdate::Form::kDelta, {Bench::Worker("b")});
  b.Ask(1, "once");
  const auto start = b.Only<StartAttempt>();
  b.Post(TimerDue{{TimerKey::Wait::kSendDeadline, static_cast<std::uint64_t>(start.attempt)}},
         250 * kMillisecond);
  CHECK(b.Only<StopAttempt>().attempt == start.attempt);
  CHECK(b.Only<StartAttempt>().worker != start.worker);
  CHECK(b.core().counters().attempts[static_cast<std::size_t>(Outcome::kConnectFailed)] == 1);
}

TEST_CASE(
    "whoever leaves takes along what is not handed over, whatever the class and whether cancels are "
    "allowed") {
  for (const bool cancels : {true, false}) {
    for (const std::string job_class : {"safe", "keyed", "once"}) {
      CAPTURE(cancels);
      CAPTURE(job_class);
      CoreSettings settings = Settings();
      settings.dispatcher.cancel = cancels;
      Bench b(settings);
      b.Ask(1, job_class);
      const auto connecting = b.Only<StartAttempt>();
      b.Ask(2, job_class);
      const auto running = b.Only<StartAttempt>();
      b.Post(AttemptSent{running.attempt});
      b.Post(ClientLeft{{ClientRef::Frontend::kHttp, 1}});
      CHECK(b.Only<StopAttempt>().attempt == connecting.attempt);
      CHECK(b.Effects<StartAttempt>().empty());
      b.Post(AttemptSent{connecting.attempt});  // told too late to be of any use
      CHECK(b.core().counters().attempts[static_cast<std::size_t>(Outcome::kNotSent)] == 1);
      b.Post(ClientLeft{{ClientRef::Frontend::kHttp, 2}});
      CHECK(b.Effects<StopAttempt>().size() == (cancels ? 1 : 0));
      b.Post(AttemptEnded{running.attempt, Outcome::kServed, "", {}});
      CHECK(b.Effects<Answer>().empty());
      CHECK(b.core().Quiet());
    }
  }
}

TEST_CASE(
    "a request that is answered takes along what is not handed over, also where cancels are not allowed") {
  CoreSettings settings = Settings();
  settings.dispatcher.cancel = false;
  Bench b(settings);
  b.Ask(1, "once");
  const auto start = b.Only<StartAttempt>();
  // The module's own deadline timer, while the connection still comes up: its wait is over before the
  // reducer's.
  for (const SetTimer& timer : b.Effects<SetTimer>()) {
    if (timer.key.wait == TimerKey::Wait::kDispatcher)
      b.Post(TimerDue{timer.key}, timer.delay);
    if (!b.Effects<Answer>().empty())
      break;
  }
  CHECK(b.Effects<Answer>().size() == 1);
  CHECK(b.Only<StopAttempt>().attempt == start.attempt);
  CHECK(b.core().Quiet());
}

TEST_CASE(
    "what was judged at the send is judged again when the connection is up, however late a timer rings") {
  Bench b;
  SUBCASE("in time it is handed over, with the time that is left by then") {
    b.Ask(1, "once");
    const auto start = b.Only<StartAttempt>();
    b.Post(AttemptConnected{start.attempt}, 200 * kMillisecond);
    CHECK(b.Only<SendAttempt>().attempt == start.attempt);
    CHECK(b.Only<SendAttempt>().time_left == 780 * kMillisecond);
  }
  SUBCASE("past the deadline") {
    b.Ask(1, "safe", "", 300 * kMillisecond);
    const auto start = b.Only<StartAttempt>();
    SUBCASE("the last moment") {
      b.Post(AttemptConnected{start.attempt}, 280 * kMillisecond - 1);
      CHECK(b.Only<SendAttempt>().time_left == 1);
    }
    SUBCASE("too late") {
      b.Post(AttemptConnected{start.attempt}, 280 * kMillisecond);
      CHECK(b.Effects<SendAttempt>().empty());
      CHECK(b.Only<StopAttempt>().attempt == start.attempt);
      CHECK(b.Effects<Answer>().size() == 1);
      CHECK(b.core().Quiet());
    }
  }
  SUBCASE("where the list is too old by then") {
    b.Ask(1, "safe");
    b.Post(EndpointListLease{200 * kMillisecond});
    b.Post(AttemptConnected{AttemptId{1}}, 200 * kMillisecond);
    CHECK(b.Effects<SendAttempt>().empty());
    CHECK(b.Only<StopAttempt>().attempt == AttemptId{1});
  }
  SUBCASE("where the instance drains, or whoever asked has left, nothing is left to be judged") {
    b.Ask(1, "safe");
    b.Ask(2, "safe");
    b.Post(ClientLeft{{ClientRef::Frontend::kHttp, 1}});
    b.News(EndpointListUpdate::Form::kDelta, {Bench::Worker("a", WorkerEndpoint::State::kDraining)});
    for (const AttemptId number : {AttemptId{1}, AttemptId{2}}) {
      b.Post(AttemptConnected{number});
      CHECK(b.Effects<SendAttempt>().empty());
    }
  }
}

TEST_CASE("a keyed request that may have run begins again within the window of its first attempt, or never") {
  CoreSettings settings = Settings();
  settings.dispatcher.classes[1].window = 100 * kMillisecond;  // shorter than a dial
  Bench b(settings);
  b.News(EndpointListUpdate::Form::kDelta, {Bench::Worker("b")});
  b.Ask(1, "keyed");
  const auto first = b.Only<StartAttempt>();
  b.Post(AttemptConnected{first.attempt});
  b.Post(AttemptSent{first.attempt});
  b.Post(AttemptEnded{first.attempt, Outcome::kLost, "", {}}, 58 * kMillisecond);
  const auto second = b.Only<StartAttempt>();  // 60 ms after the first was decided on
  const TimerKey wait{TimerKey::Wait::kSendDeadline, static_cast<std::uint64_t>(second.attempt)};
  Micros delay = 0;
  for (const SetTimer& timer : b.Effects<SetTimer>())
    delay = timer.key == wait ? timer.delay : delay;
  CHECK(delay == 40 * kMillisecond);
  SUBCASE("the last moment") {
    b.Post(AttemptConnected{second.attempt}, delay - 1);
    CHECK(b.Only<SendAttempt>().attempt == second.attempt);
  }
  SUBCASE("too late") {
    SUBCASE("by the timer") { b.Post(TimerDue{wait}, delay); }
    SUBCASE("before the timer, which rings late") { b.Post(AttemptConnected{second.attempt}, delay); }
    CHECK(b.Effects<SendAttempt>().empty());
    CHECK(b.Only<StopAttempt>().attempt == second.attempt);
    CHECK(b.Effects<StartAttempt>().empty());
    // Its repeats are dropped wherever they come.
    CHECK(std::holds_alternative<Rejection>(b.Only<Answer>().answer));
    CHECK(b.core().counters().attempts[static_cast<std::size_t>(Outcome::kNotSent)] == 1);
    CHECK(b.core().Quiet());
  }
}

TEST_CASE("an execution that is called off before its last byte is out never ran") {
  CoreSettings settings = Settings();
  settings.dispatcher.classes[1].window = 2 * kSecond;
  settings.dial_timeout = 4 * kSecond;  // longer than the module waits for a sign of life
  Bench b(settings);
  b.News(EndpointListUpdate::Form::kDelta, {Bench::Worker("b")});
  b.Ask(1, "keyed", "", 5 * kSecond);
  const auto first = b.Only<StartAttempt>();
  Micros waited = 0;
  for (const SetTimer& timer : b.Effects<SetTimer>()) {
    if (timer.key.wait != TimerKey::Wait::kDispatcher || timer.delay >= 4 * kSecond || waited > 0)
      continue;
    b.Post(TimerDue{timer.key}, timer.delay);
    waited = b.Effects<StopAttempt>().empty() ? 0 : timer.delay;
  }
  REQUIRE(waited > kSecond);
  CHECK(b.Only<StopAttempt>().attempt == first.attempt);
  CHECK(b.core().counters().attempts[static_cast<std::size_t>(Outcome::kNotSent)] == 1);
  const auto second = b.Only<StartAttempt>();
  b.Post(AttemptSent{second.attempt});
  // The window is counted from the second, the first that may have run.
  b.Post(AttemptEnded{second.attempt, Outcome::kLost, "", {}}, 2 * kSecond - 2 * kMillisecond);
  CHECK(b.Effects<StartAttempt>().size() == 1);
}

TEST_CASE("a class that must not be repeated goes again only where no byte can have run") {
  enum class How {
    kEnded,         // the link tells the outcome
    kSendDeadline,  // not handed over in time
    kGiveUp,        // no answer in time
    kDrain,         // news
    kDistrust,      // the list is too old
    kLate,          // connected after its time
  };
  struct {
    std::string what;
    bool sent;
    How how;
    Outcome outcome;  // told for kEnded, counted for all
    bool never_ran;
  } const kEnds[] = {
      {"refused, or broken before the last byte", false, How::kEnded, Outcome::kConnectFailed, true},
      {"never up", false, How::kSendDeadline, Outcome::kConnectFailed, true},
      {"told to drain before the last byte", false, How::kDrain, Outcome::kNotSent, true},
      {"an answer before the last byte: nobody knows what it is to", false, How::kEnded, Outcome::kError,
       false},
      {"turned away or handed back", true, How::kEnded, Outcome::kFull, true},
      {"failed", true, How::kEnded, Outcome::kError, false},
      {"cut, reset or killed", true, How::kEnded, Outcome::kLost, false},
      // After these there is no time, or nobody, left to try.
      {"given up on unsent", false, How::kGiveUp, Outcome::kConnectFailed, true},
      {"up after its time", false, How::kLate, Outcome::kNotSent, true},
      {"no list before the last byte", false, How::kDistrust, Outcome::kNotSent, true},
      {"given up on", true, How::kGiveUp, Outcome::kTimeout, false},
  };
  for (const auto& end : kEnds) {
    for (const std::string job_class : {"safe", "keyed", "once"}) {
      CAPTURE(end.what);
      CAPTURE(job_class);
      Bench b;
      b.News(EndpointListUpdate::Form::kDelta, {Bench::Worker("b")});
      b.Ask(1, job_class);
      const auto start = b.Only<StartAttempt>();
      const auto number = static_cast<std::uint64_t>(start.attempt);
      if (end.sent) {
        b.Post(AttemptConnected{start.attempt});
        CHECK(b.Only<SendAttempt>().attempt == start.attempt);
        b.Post(AttemptSent{start.attempt});
      }
      const bool over = end.how == How::kGiveUp || end.how == How::kLate || end.how == How::kDistrust;
      switch (end.how) {
        case How::kEnded:
          b.Post(AttemptEnded{start.attempt, end.outcome, "", {}});
          break;
        case How::kSendDeadline:
          b.Post(TimerDue{{TimerKey::Wait::kSendDeadline, number}}, 250 * kMillisecond);
          break;
        case How::kGiveUp:
          b.Post(TimerDue{{TimerKey::Wait::kGiveUp, number}}, kSecond);
          break;
        case How::kDrain:
          b.News(EndpointListUpdate::Form::kDelta,
                 {Bench::Worker(start.worker, WorkerEndpoint::State::kDraining)});
          break;
        case How::kDistrust:
          b.Post(EndpointListLease{0});
          break;
        case How::kLate:
          b.Post(AttemptConnected{start.attempt}, kSecond);
          break;
      }
      CHECK(b.core().counters().attempts[static_cast<std::size_t>(end.outcome)] == 1);
      // Whatever may still go on at the instance is ended before anything else begins.
      CHECK(b.Effects<StopAttempt>().size() == (end.how == How::kEnded ? 0 : 1));
      const bool again = !over && (end.never_ran || job_class != "once");
      REQUIRE(b.Effects<StartAttempt>().size() == (again ? 1 : 0));
      if (again)
        continue;
      const auto answer = b.Only<Answer>().answer;
      CHECK(std::holds_alternative<Rejection>(answer) == (end.never_ran || job_class != "once"));
      CHECK(b.core().Quiet());
    }
  }
}

TEST_CASE("every nack tells when to come back") {
  Bench b;
  b.News(EndpointListUpdate::Form::kDelta, {Bench::Worker("a", WorkerEndpoint::State::kGone)});
  for (const char* job_class : {"safe", "keyed", "once"}) {
    b.Ask(1, job_class);
    CHECK(std::get<Rejection>(b.Only<Answer>().answer).retry_after > 0);
  }
}

TEST_CASE("a job's own id is held to its class's repeat rule") {
  Bench b;
  const auto run = [&b](std::uint64_t client, const std::string& job_class, const std::string& id) {
    b.Ask(client, job_class, id);
    if (b.Effects<StartAttempt>().empty())
      return false;
    const auto start = b.Only<StartAttempt>();
    b.Post(AttemptSent{start.attempt});
    b.Post(AttemptEnded{start.attempt, Outcome::kServed, "", {}});
    return true;
  };
  CHECK(run(1, "once", "x"));
  CHECK_FALSE(run(2, "once", "x"));
  CHECK(std::get<Failure>(b.Only<Answer>().answer).why == Failure::Why::kRepeat);
  CHECK(run(3, "safe", "y"));
  CHECK(run(4, "safe", "y"));
  CHECK(run(5, "keyed", "z"));
  CHECK(run(6, "keyed", "z"));
  b.Post(EndpointListWatchFailed{}, 2 * kSecond);  // the window is over
  CHECK_FALSE(run(7, "keyed", "z"));
}

TEST_CASE(
    "a repeat by a job's own id begins within the window of the run before, however long it waits here") {
  CoreSettings settings = Settings();
  settings.dial_timeout = 2 * kSecond;
  Bench b(settings);
  b.Ask(1, "keyed", "z");
  const auto first = b.Only<StartAttempt>();
  b.Post(AttemptSent{first.attempt});
  b.Post(AttemptEnded{first.attempt, Outcome::kServed, "", {}});
  b.Ask(2, "keyed", "z", 3 * kSecond);  // 2 ms into a window of a second
  const auto second = b.Only<StartAttempt>();
  SUBCASE("the last moment") {
    b.Post(AttemptConnected{second.attempt}, 998 * kMillisecond - 1);
    CHECK(b.Effects<SendAttempt>().size() == 1);
  }
  SUBCASE("too late") {
    b.Post(AttemptConnected{second.attempt}, 998 * kMillisecond);
    CHECK(b.Effects<SendAttempt>().empty());
    CHECK(b.Only<StopAttempt>().attempt == second.attempt);
    CHECK(b.Effects<StartAttempt>().empty());
    CHECK(std::get<Failure>(b.Only<Answer>().answer).why == Failure::Why::kRepeat);  // as if it had come then
    CHECK(b.core().Quiet());
  }
}

TEST_CASE("a job given up on at a worker that cannot be stopped is not taken again while it is out there") {
  Bench b;
  b.News(EndpointListUpdate::Form::kSnapshot, {});
  b.Post(EndpointListUpdate{
      EndpointListUpdate::Form::kDelta, WorkerEndpoint::Source::kSession, {Bench::Worker("w")}});
  b.Ask(1, "safe", "x");
  const auto start = b.Only<StartAttempt>();
  b.Post(AttemptSent{start.attempt});
  b.Post(TimerDue{{TimerKey::Wait::kGiveUp, static_cast<std::uint64_t>(start.attempt)}}, 990 * kMillisecond);
  CHECK(b.Effects<Answer>().size() == 1);
  b.Ask(2, "safe", "x");
  CHECK(b.Effects<StartAttempt>().empty());
  CHECK(std::get<Rejection>(b.Only<Answer>().answer).retry_after > 0);
  b.Post(AbandonedAttemptEnded{start.attempt});
  b.Ask(3, "safe", "x");
  CHECK(b.Effects<StartAttempt>().size() == 1);
}

TEST_CASE("a session's news does not pass for discovery's: the list is still asked for") {
  Bench b;
  const auto timers = b.Effects<SetTimer>();  // among them the module's own, set at its start: it asks
  b.Post(EndpointListUpdate{
      EndpointListUpdate::Form::kDelta, WorkerEndpoint::Source::kSession, {Bench::Worker("s")}});
  bool asked = false;
  for (const SetTimer& timer : timers) {
    if (timer.key.wait != TimerKey::Wait::kDispatcher)
      continue;
    b.Post(TimerDue{timer.key}, 200 * kMillisecond);
    asked = asked || !b.Effects<WatchEndpointList>().empty();
  }
  CHECK(asked);
  b.News(EndpointListUpdate::Form::kSnapshot, {});  // which does not end what the session told
  CHECK(b.core().endpoints().contains("s"));
  CHECK_FALSE(b.core().endpoints().contains("a"));
}

TEST_CASE("the counters add up, and the MIB shows them in order") {
  Bench b;
  b.Ask(1, "safe");
  b.Post(ClientLeft{{ClientRef::Frontend::kHttp, 1}});
  CHECK(b.Only<StopAttempt>().attempt == AttemptId{1});
  const Counters& c = b.core().counters();
  CHECK(c.classes[0].received == 1);
  CHECK(c.classes[0].clients_left == 1);
  const auto objects = snmp::Objects(c);
  CHECK(std::get<snmp::Counter>(objects.at({2, 1, 3, 1})).value == 1);
  CHECK(std::get<snmp::Gauge>(objects.at({1, 3, 0})).value == 1);
  CHECK(objects.begin()->first == snmp::ObjectId{1, 1, 0});
}

// The MIB file's read-only objects, below its root.
std::set<snmp::ObjectId> ObjectsOfMib() {
  std::ifstream file(ALDERSILL_MIB);
  std::ostringstream all;
  all << file.rdbuf();
  const std::string text = all.str().substr(all.str().find("FROM NET-SNMP-MIB;"));
  std::map<std::string, snmp::ObjectId> ids = {{"netSnmpPlaypen", {}}};
  std::set<snmp::ObjectId> readable;
  const std::regex object(
      R"((\w+)\s+(?:OBJECT IDENTIFIER|MODULE-IDENTITY|OBJECT-TYPE)([\s\S]*?)::=\s*\{\s*(\w+)\s+(\d+)\s*\})");
  for (std::sregex_iterator at(text.begin(), text.end(), object), end; at != end; ++at) {
    snmp::ObjectId id = ids.at((*at)[3]);
    if ((*at)[3] != "netSnmpPlaypen")
      id.push_back(std::stoull((*at)[4]));
    ids[(*at)[1]] = id;
    if ((*at)[2].str().find("read-only") != std::string::npos)
      readable.insert(id);
  }
  return readable;
}

TEST_CASE("the agent shows what the MIB file describes, no more and no less") {
  Bench b;
  std::set<snmp::ObjectId> shown;
  snmp::ObjectMap objects = snmp::Objects(b.core().counters());
  cluster::Cluster cluster({}, 1);
  cluster::AddObjects(cluster, {}, membership::Sealer({membership::Key{}}, 1), kStart, &objects);
  for (const auto& [id, value] : objects)
    shown.insert(snmp::ObjectId(id.begin(), id.end() - 1));  // less the index, or a scalar's 0
  CHECK(shown.size() == 17 + 25 + 3);
  CHECK(shown == ObjectsOfMib());
}

TEST_CASE("settings read anew rule the requests that come from then on; those before end by theirs") {
  Bench b;
  b.Ask(1, "safe");
  const StartAttempt first = b.Only<StartAttempt>();
  CoreSettings next = Settings();
  next.dispatcher.classes.erase(next.dispatcher.classes.begin());
  next.dispatcher.classes.push_back({.name = "new", .target = 400'000, .deadline = 5 * kSecond});
  b.Post(SettingsChanged{next});
  b.Ask(2, "new");
  const StartAttempt second = b.Only<StartAttempt>();
  b.Ask(3, "safe");
  CHECK(std::holds_alternative<Failure>(b.Only<Answer>().answer));
  for (const StartAttempt& start : {second, first}) {
    b.Post(AttemptSent{start.attempt});
    b.Post(AttemptEnded{start.attempt, Outcome::kServed, "ok", {}});
    CHECK(std::get<Served>(b.Only<Answer>().answer).result == "ok");
  }
}

}  // namespace
}  // namespace aldersill

// Guards against jobs that are sent to draining workers after a reload (SIGHUP) has moved discovery. This was
// seen in fleets of 178 and 198 dispatchers: workers drained shortly after the reload, and the dispatcher had
// not received the change.
//
// The list was used for rules.mustAskIn less the wait of a poll (8 s) after the reload, and the first poll at
// the new address was delayed by up to 5 s, depending on the configured fleet size. However, changes that
// discovery holds count as notified 4 s after the reload.
//
// Sequence in one dispatcher: last answer on the watch at 25.454 s, SIGHUP at 25.861 s, end of the watch at
// the previous address at 25.918 s, no poll at the new address, jobs sent to workers that answered 503
// because they were draining at 30.223 s and 30.228 s. In the other dispatcher: SIGHUP at 26.076 s, jobs sent
// at 30.423 s, 30.434 s and 30.442 s. In both, the first such job was sent about 4.36 s after SIGHUP, just
// after the 4 s and the 0.35 s within which a drain must take effect.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "client_scenario.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReloadNotificationBound{4'000};
constexpr milliseconds kDrainGrace{300};
constexpr milliseconds kSlack{500};  // tolerance for a slow machine
constexpr milliseconds kPreviousAddressCloses{1'500};
constexpr milliseconds kObservationTime{6'500};  // time after the reload for which jobs are sent
constexpr int kFleetSize = 198;
constexpr int kJobDeadlineMs = 300;

// A worker that completes every job immediately and records when it arrived.
class RecordingWorker {
 public:
  std::uint16_t port() const { return server_.port(); }
  std::ptrdiff_t ArrivalsAfter(Clock::time_point time) {
    const std::scoped_lock lock(mutex_);
    return std::ranges::count_if(arrivals_, [time](Clock::time_point arrival) { return arrival > time; });
  }

 private:
  tools::JobOutcome Run() {
    const std::scoped_lock lock(mutex_);
    arrivals_.push_back(Clock::now());
    return tools::JobOutcome::kDone;
  }
  std::mutex mutex_;
  std::vector<Clock::time_point> arrivals_;
  tools::HttpServer server_{
      0, tools::JobRunningHandler([this](const std::string&, const std::string&) { return Run(); })};
};

nlohmann::json Entry(const std::string& id, std::uint16_t port, const std::string& state) {
  return {{"id", id}, {"addr", "127.0.0.1:" + std::to_string(port)}, {"zone", "quilicura"}, {"state", state}};
}

std::string ListAnswer(int version, bool full, const nlohmann::json& servers) {
  const std::string body = nlohmann::json{{"version", version}, {"full", full}, {"servers", servers}}.dump();
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string AddressOf(const Socket& listener) {
  return "127.0.0.1:" + std::to_string(tools::PortOf(listener));
}

// A dispatcher that is configured as one of many and watches discovery at its first address.
class MovingDiscovery {
 public:
  explicit MovingDiscovery(const std::string& discovery_mode) {
    config_ = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
    config_["settings"]["peersTotal"] = kFleetSize;
    config_["settings"]["discovery"] = discovery_mode;
    for (auto& tenant : config_["settings"]["tenants"])
      tenant["quotaPerS"] = 100'000.0;  // high enough that no job is rejected for its tenant's quota
    config_["discovery"] = AddressOf(previous_);
    daemon_.emplace(config_, nlohmann::json::object());
    REQUIRE(daemon_->ports().contains("http"));
    AnswerPoll("GET /api/targets?", ListAnswer(41, true, Servers("SERVING")));
    REQUIRE(Receive(watch_, "\r\n\r\n").text.starts_with("GET /api/targets?index=41&wait="));
  }

  // Moves discovery by SIGHUP. The previous address accepts no new connection from then on.
  void Reload() {
    config_["discovery"] = AddressOf(next_);
    daemon_->WriteConfig(config_.dump(), nlohmann::json::object());
    shutdown(previous_.fd(), SHUT_RDWR);
    reloaded_at_ = Clock::now();
    daemon_->Signal(SIGHUP);
    REQUIRE(daemon_->WaitForLogLine("configuration_applied"));
  }
  // Writes `config` as the configuration and sends SIGHUP. Discovery is not moved, and falls silent.
  void ReloadInPlace(const std::string& config, const std::string& expected_line) {
    daemon_->WriteConfig(config, nlohmann::json::object());
    reloaded_at_ = Clock::now();
    daemon_->Signal(SIGHUP);
    REQUIRE(daemon_->WaitForLogLine(expected_line));
  }
  std::string config_text() const { return config_.dump(); }
  bool HasLogged(const std::string& text) const { return daemon_->log().find(text) != std::string::npos; }
  // Answers the watch that was open at the move without changes, and expects that it is continued.
  void AnswerWatchAtPreviousAddress() {
    REQUIRE(Send(watch_, ListAnswer(41, false, nlohmann::json::array())));
    REQUIRE(Receive(watch_, "\r\n\r\n").text.starts_with("GET /api/targets?index=41&wait="));
  }
  void ClosePreviousAddress() {
    std::this_thread::sleep_until(reloaded_at_ + kPreviousAddressCloses);
    watch_.Close();
  }
  // Answers the outstanding poll at the new address; in this answer the `draining` worker is draining.
  void AnswerPollAtNewAddress() {
    watch_ = Accept(next_);
    AnswerPoll("GET /api/targets", ListAnswer(7, true, Servers("DRAINING")));
  }
  // Sends jobs one after another until `until`. Returns how many were served.
  int SendJobs(Clock::time_point until) {
    int served = 0;
    while (Clock::now() < until) {
      tools::Wire client(tools::ConnectTo(daemon_->ports().at("http")));
      const tools::HttpMessage answer = tools::Post(&client, "certificado", "job-" + std::to_string(++jobs_),
                                                    "hogar-del-sur", kJobDeadlineMs, "");
      served += answer.start.find(" 200 ") != std::string::npos ? 1 : 0;
    }
    return served;
  }
  Clock::time_point reloaded_at() const { return reloaded_at_; }

  RecordingWorker staying, draining;

 private:
  nlohmann::json Servers(const std::string& state_of_draining) {
    return nlohmann::json::array({Entry("s-staying", staying.port(), "SERVING"),
                                  Entry("s-draining", draining.port(), state_of_draining)});
  }
  void AnswerPoll(const std::string& start, const std::string& answer) {
    if (watch_.fd() < 0)
      watch_ = Accept(previous_);
    REQUIRE(Receive(watch_, "\r\n\r\n").text.starts_with(start));
    REQUIRE(Send(watch_, answer));
  }

  const Socket previous_ = tools::ListenOn(0), next_ = tools::ListenOn(0);
  Socket watch_;
  nlohmann::json config_;
  std::optional<DaemonUnderTest> daemon_;
  Clock::time_point reloaded_at_;
  int jobs_ = 0;
};

TEST_CASE("after a move, nothing is sent to a worker whose drain counts as notified 4 s after the reload") {
  for (const bool watch_answers : {true, false}) {
    CAPTURE(watch_answers);
    MovingDiscovery scenario("subscribe");
    scenario.Reload();
    if (watch_answers)
      scenario.AnswerWatchAtPreviousAddress();
    scenario.ClosePreviousAddress();
    CHECK(scenario.HasLogged("endpoint_list_bound bound=reload"));
    // The list is used before the bound.
    CHECK(scenario.SendJobs(scenario.reloaded_at() + kReloadNotificationBound / 2) > 0);
    // Discovery at the new address does not answer meanwhile, so the list must not be used after the bound.
    scenario.SendJobs(scenario.reloaded_at() + kObservationTime);
    CHECK(scenario.draining.ArrivalsAfter(scenario.reloaded_at() + kReloadNotificationBound + kDrainGrace +
                                          kSlack) == 0);
    scenario.AnswerPollAtNewAddress();
    const Clock::time_point answered_at = Clock::now();
    CHECK(scenario.SendJobs(answered_at + 2 * (kDrainGrace + kSlack)) > 0);
    CHECK(scenario.draining.ArrivalsAfter(answered_at + kDrainGrace + kSlack) == 0);
  }
}

TEST_CASE("a reload without a move, or a rejected one, also ends the list unless discovery answers") {
  for (const bool rejected : {false, true}) {
    CAPTURE(rejected);
    MovingDiscovery scenario("subscribe");
    if (rejected)
      scenario.ReloadInPlace("[]", "configuration_rejected");
    else
      scenario.ReloadInPlace(scenario.config_text(), "configuration_applied");
    CHECK(scenario.SendJobs(scenario.reloaded_at() + kReloadNotificationBound / 2) > 0);
    scenario.SendJobs(scenario.reloaded_at() + kObservationTime);
    const Clock::time_point last_allowed =
        scenario.reloaded_at() + kReloadNotificationBound + kDrainGrace + kSlack;
    CHECK(scenario.staying.ArrivalsAfter(last_allowed) + scenario.draining.ArrivalsAfter(last_allowed) == 0);
  }
}

}  // namespace
}  // namespace aldersill::tests

// Fixture of the tests of service clients' connections: the running daemon, one worker that the test code
// impersonates, and raw client sockets. The worker answers only when a test says so, which lets each test
// force the order of events over loopback.
#ifndef ALDERSILL_TESTS_DAEMON_CLIENT_SCENARIO_H_
#define ALDERSILL_TESTS_DAEMON_CLIENT_SCENARIO_H_

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <filesystem>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "daemon_under_test.h"
#include "player.h"

namespace aldersill::tests {

using tools::Socket;
using Clock = std::chrono::steady_clock;

// How long a test waits for an event that is expected, enough for a slow machine.
constexpr int kWaitMs = 15'000;

inline const std::string kReadyRequest = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
inline const std::string kStatusOk = "HTTP/1.1 200 OK\r\n";
inline const std::string kStatusUnavailable = "HTTP/1.1 503 Service Unavailable\r\n";

// Whether bytes or the end of the connection arrive within `wait_ms`; for a listener, a connection.
inline bool WaitReadable(const Socket& socket, int wait_ms = kWaitMs) {
  pollfd polled{socket.fd(), POLLIN, 0};
  return poll(&polled, 1, wait_ms) == 1;
}

inline Socket Accept(const Socket& listener) {
  REQUIRE(WaitReadable(listener));
  return Socket(accept(listener.fd(), nullptr, nullptr));
}

// Sends all of `text`. False if the peer reads nothing for kWaitMs or has closed the connection.
inline bool Send(const Socket& socket, const std::string& text) {
  const timeval timeout{kWaitMs / 1'000, 0};
  setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = send(socket.fd(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

enum class End { kOpen, kClosed, kReset };
struct Received {
  std::string text;
  End end = End::kOpen;
};

// Receives until `marker` has arrived, or the end of the connection if `marker` is empty. Gives up when
// nothing has arrived for kWaitMs; the result is then kOpen.
inline Received Receive(const Socket& socket, const std::string& marker = "") {
  Received received;
  char buffer[4096];
  while ((marker.empty() || received.text.find(marker) == std::string::npos) && WaitReadable(socket)) {
    const ssize_t size = recv(socket.fd(), buffer, sizeof(buffer), 0);
    if (size <= 0) {
      received.end = size == 0 ? End::kClosed : End::kReset;
      break;
    }
    received.text.append(buffer, static_cast<std::size_t>(size));
  }
  return received;
}

// Closes the connection with a reset.
inline void Reset(Socket* socket) {
  const linger at_once{1, 0};
  setsockopt(socket->fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  socket->Close();
}

// A job as an HTTP request with all fields that the daemon requires.
inline std::string Request(const std::string& id, const std::string& body = "", int deadline_ms = 20'000,
                           const std::string& job_class = "cobro") {
  return "POST /" + job_class + " HTTP/1.1\r\nHost: a\r\nReq-Id: " + id + "\r\nReq-Kind: " + job_class +
         "\r\nReq-Owner: hogar-del-sur\r\nReq-Deadline: " + std::to_string(deadline_ms) +
         "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline nlohmann::json ServerEntry(const std::string& id, const Socket& listener) {
  return {{"id", id},
          {"addr", "127.0.0.1:" + std::to_string(tools::PortOf(listener))},
          {"zone", "quilicura"},
          {"state", "SERVING"}};
}

// The daemon with one worker, which the test code impersonates.
class ClientScenario {
 public:
  // `changes` maps JSON pointers into the daemon's configuration to their new values.
  explicit ClientScenario(const nlohmann::json& changes = nlohmann::json::object()) {
    config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
    config.erase("discovery");
    config["known"]["servers"] = nlohmann::json::array({ServerEntry("s-1", worker)});
    // A high quota, so that no job waits for tokens.
    for (auto& tenant : config["settings"]["tenants"])
      tenant["quotaPerS"] = 1000.0;
    for (const auto& [pointer, value] : changes.items())
      config[nlohmann::json::json_pointer(pointer)] = value;
    daemon.emplace(config, nlohmann::json::object());
    REQUIRE(daemon->ports().contains("http"));
  }

  Socket Connect() const { return tools::ConnectTo(daemon->ports().at("http")); }

  // Accepts the connection of the next attempt and reads its head, which must have this request id.
  Socket AcceptAttempt(const std::string& id) const {
    Socket attempt = Accept(worker);
    REQUIRE(Receive(attempt, "\r\n\r\n").text.find("Req-Id: " + id + "\r\n") != std::string::npos);
    return attempt;
  }
  // Answers an attempt as a worker that has done the job; the result is "ran " and the id.
  static void Complete(const Socket& attempt, const std::string& id) { Complete(attempt, id, "ran " + id); }
  static void Complete(const Socket& attempt, const std::string& id, const std::string& result) {
    const std::string line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"" + result + "\"}\n";
    REQUIRE(Send(attempt,
                 "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size()) + "\r\n\r\n" + line));
  }
  // Whether no further attempt waits at the worker's listener.
  bool NothingForwarded() const { return !WaitReadable(worker, 0); }

  // The number of descriptors that the daemon has open.
  long Descriptors() const {
    const std::filesystem::path folder = "/proc/" + std::to_string(daemon->pid()) + "/fd";
    return std::distance(std::filesystem::directory_iterator(folder), {});
  }
  // Waits until the daemon has at least `count` descriptors open, for example because it has accepted a
  // connection.
  void AwaitDescriptors(long count) const {
    while (Descriptors() < count)
      std::this_thread::yield();
  }

  // Starts another daemon that uses `discovery` and has a cached list of two workers: the one of this
  // scenario, and one that was started `other_started_ago` before now, which determines the age of the list.
  void RestartWithCachedList(const Socket& discovery, std::chrono::milliseconds other_started_ago) {
    using std::chrono::duration_cast, std::chrono::milliseconds, std::chrono::system_clock;
    const auto started =
        duration_cast<milliseconds>(system_clock::now().time_since_epoch()) - other_started_ago;
    nlohmann::json with_discovery = config;
    nlohmann::json other = config["known"]["servers"][0];
    other["id"] = "s-2";
    other["started_ms"] = started.count();
    with_discovery["known"]["servers"].push_back(other);
    with_discovery["discovery"] = "127.0.0.1:" + std::to_string(tools::PortOf(discovery));
    daemon.emplace(with_discovery, nlohmann::json::object());
  }

  const Socket worker = tools::ListenOn(0);
  nlohmann::json config;
  std::optional<DaemonUnderTest> daemon;
};

// How often `part` occurs in `text`.
inline int CountOf(const std::string& part, const std::string& text) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_CLIENT_SCENARIO_H_

// Shared by the tests of service clients' connections: the started daemon with one worker that the test
// plays, and raw client sockets. Each test forces its moment over loopback, as the worker answers only when
// told to.
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

constexpr int kWaitMs = 15'000;

inline const std::string kReadyRequest = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
inline const std::string kStatusOk = "HTTP/1.1 200 OK\r\n";
inline const std::string kStatusUnavailable = "HTTP/1.1 503 Service Unavailable\r\n";

inline bool WaitReadable(const Socket& socket, int wait_ms = kWaitMs) {
  pollfd polled{socket.fd(), POLLIN, 0};
  return poll(&polled, 1, wait_ms) == 1;
}

inline Socket Accept(const Socket& listener) {
  REQUIRE(WaitReadable(listener));
  return Socket(accept(listener.fd(), nullptr, nullptr));
}

// False if the peer reads nothing for too long, or has closed.
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

// Receives up to `marker`, or to the end if it is empty, or until nothing has arrived for kWaitMs.
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

// The daemon with one worker, which the test plays.
class ClientScenario {
 public:
  // `changes`: to the daemon's configuration, by JSON pointer.
  explicit ClientScenario(const nlohmann::json& changes = nlohmann::json::object()) {
    config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
    config.erase("discovery");
    config["known"]["servers"] = nlohmann::json::array({ServerEntry("s-1", worker)});
    // No job waits for its tokens here.
    for (auto& tenant : config["settings"]["tenants"])
      tenant["quotaPerS"] = 1000.0;
    for (const auto& [pointer, value] : changes.items())
      config[nlohmann::json::json_pointer(pointer)] = value;
    daemon.emplace(config, nlohmann::json::object());
    REQUIRE(daemon->ports().contains("http"));
  }

  Socket Connect() const { return tools::ConnectTo(daemon->ports().at("http")); }

  // The next attempt's connection, once its head has been received.
  Socket AcceptAttempt(const std::string& id) const {
    Socket attempt = Accept(worker);
    REQUIRE(Receive(attempt, "\r\n\r\n").text.find("Req-Id: " + id + "\r\n") != std::string::npos);
    return attempt;
  }
  // The worker's answer to an attempt: "ran" and its id.
  static void Complete(const Socket& attempt, const std::string& id) {
    const std::string line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"ran " + id + "\"}\n";
    REQUIRE(Send(attempt,
                 "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size()) + "\r\n\r\n" + line));
  }
  bool NothingForwarded() const { return !WaitReadable(worker, 0); }

  // How many descriptors the daemon has open.
  long Descriptors() const {
    const std::filesystem::path folder = "/proc/" + std::to_string(daemon->pid()) + "/fd";
    return std::distance(std::filesystem::directory_iterator(folder), {});
  }
  // Until the daemon has accepted a connection.
  void AwaitDescriptors(long count) const {
    while (Descriptors() < count)
      std::this_thread::yield();
  }

  // Starts the daemon anew with a discovery, and a cached list of its worker and another one that was started
  // so long ago.
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

inline int CountOf(const std::string& part, const std::string& text) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_CLIENT_SCENARIO_H_

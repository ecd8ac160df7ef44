#include "probed_workers.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace aldersill::tools {
namespace {

constexpr int kPollMs = 50;  // also the longest time that the destructor waits
constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\n"
    "{\"x0\":3}";

}  // namespace

ProbedWorkers::ProbedWorkers(int workers) : probe_times_(static_cast<std::size_t>(workers)) {
  for (int worker = 0; worker < workers; ++worker) {
    listeners_.push_back(ListenOn(0));
    ports_.push_back(PortOf(listeners_.back()));
  }
  thread_ = std::thread([this] { Serve(); });
}

ProbedWorkers::~ProbedWorkers() {
  stop_ = true;
  thread_.join();
}

std::vector<ProbedWorkers::Clock::time_point> ProbedWorkers::ProbeTimes(int worker) const {
  const std::lock_guard lock(mutex_);
  return probe_times_[static_cast<std::size_t>(worker)];
}

std::size_t ProbedWorkers::CountProbesSince(int worker, Clock::time_point since) const {
  const std::lock_guard lock(mutex_);
  const auto& times = probe_times_[static_cast<std::size_t>(worker)];
  return static_cast<std::size_t>(
      std::count_if(times.begin(), times.end(), [&](auto time) { return time >= since; }));
}

void ProbedWorkers::Serve() {
  while (!stop_) {
    std::vector<pollfd> polled;
    for (const Socket& listener : listeners_)
      polled.push_back({listener.fd(), POLLIN, 0});
    for (const auto& [fd, connection] : connections_)
      polled.push_back({fd, POLLIN, 0});
    if (poll(polled.data(), polled.size(), kPollMs) <= 0)
      continue;
    for (std::size_t i = 0; i < polled.size(); ++i) {
      const int fd = polled[i].fd;
      if (polled[i].revents == 0)
        continue;
      if (i < listeners_.size()) {
        Accept(fd, i);
      } else if (!Read(&connections_.at(fd))) {
        connections_.erase(fd);
      }
    }
  }
}

void ProbedWorkers::Accept(int listener, std::size_t worker) {
  Socket socket(accept(listener, nullptr, nullptr));
  const int fd = socket.fd();
  if (fd >= 0)
    connections_.emplace(fd, Connection{std::move(socket), worker, ""});
}

bool ProbedWorkers::Read(Connection* connection) {
  char bytes[1024];
  const ssize_t received = recv(connection->socket.fd(), bytes, sizeof(bytes), 0);
  if (received <= 0)
    return false;
  connection->head.append(bytes, static_cast<std::size_t>(received));
  if (!connection->head.ends_with("\r\n\r\n"))
    return true;
  if (connection->head.starts_with("GET /-/load ")) {
    {
      const std::lock_guard lock(mutex_);
      probe_times_[connection->worker].push_back(Clock::now());
    }
    send(connection->socket.fd(), kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL);
  }
  return false;
}

}  // namespace aldersill::tools

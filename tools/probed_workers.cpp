#include "probed_workers.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <utility>

namespace aldersill::tools {

ProbedWorkers::ProbedWorkers(int workers) : probes_(static_cast<std::size_t>(workers)) {
  for (int i = 0; i < workers; ++i) {
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
  return probes_[static_cast<std::size_t>(worker)];
}

std::size_t ProbedWorkers::CountProbesSince(int worker, Clock::time_point since) const {
  const std::lock_guard lock(mutex_);
  const auto& probes = probes_[static_cast<std::size_t>(worker)];
  return static_cast<std::size_t>(
      std::count_if(probes.begin(), probes.end(), [&](auto at) { return at >= since; }));
}

void ProbedWorkers::Serve() {
  struct Caller {
    Socket socket;
    std::size_t worker = 0;
    std::string head;
  };
  std::map<int, Caller> callers;
  const std::string body = "{\"x0\":3}";
  const std::string answer =
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  while (!stop_) {
    std::vector<pollfd> polled;
    for (const Socket& listener : listeners_)
      polled.push_back({listener.fd(), POLLIN, 0});
    for (const auto& [fd, caller] : callers)
      polled.push_back({fd, POLLIN, 0});
    if (poll(polled.data(), polled.size(), 50) <= 0)
      continue;
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (polled[i].revents == 0)
        continue;
      if (i < listeners_.size()) {
        Socket socket(accept(polled[i].fd, nullptr, nullptr));
        const int fd = socket.fd();
        if (fd >= 0)
          callers.emplace(fd, Caller{std::move(socket), i, ""});
        continue;
      }
      Caller& caller = callers.at(polled[i].fd);
      char bytes[1024];
      const ssize_t got = recv(polled[i].fd, bytes, sizeof(bytes), 0);
      if (got > 0)
        caller.head.append(bytes, static_cast<std::size_t>(got));
      const bool whole = caller.head.ends_with("\r\n\r\n");
      if (whole && caller.head.starts_with("GET /-/load ")) {
        {
          const std::lock_guard lock(mutex_);
          probes_[caller.worker].push_back(Clock::now());
        }
        send(polled[i].fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      if (got <= 0 || whole)
        callers.erase(polled[i].fd);
    }
  }
}

}  // namespace aldersill::tools

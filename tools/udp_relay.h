// A relay between instances on loopback that can be told to drop: it stands where each instance is reached,
// and passes on what comes as if from where its sender is reached. For tests of splits, on a thread of its
// own.
#ifndef ALDERSILL_TOOLS_UDP_RELAY_H_
#define ALDERSILL_TOOLS_UDP_RELAY_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "player.h"

namespace aldersill::tools {

class UdpRelay {
 public:
  explicit UdpRelay(int instances);
  ~UdpRelay();

  std::uint16_t port(int instance) const { return ports_[instance]; }  // where it is reached
  void SetMemberPort(int instance, std::uint16_t port);                // where it really is
  void Cut(int from, int to);
  void HealAll();
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Carry();
  std::vector<Socket> sockets_;
  std::vector<std::uint16_t> ports_;
  std::mutex mutex_;
  std::vector<std::uint16_t> real_;
  std::set<std::pair<int, int>> cuts_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_UDP_RELAY_H_

// Relays datagrams between cluster members on loopback, on a thread of its own, and can partition them. Each
// member is reached at an endpoint of the relay, which forwards datagrams as if from the sender's endpoint.
//
// tests/fleet/datagram_links.h is its counterpart on an event loop, which can also lose and delay datagrams.
#ifndef ALDERSILL_TOOLS_UDP_RELAY_H_
#define ALDERSILL_TOOLS_UDP_RELAY_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <span>
#include <thread>
#include <utility>
#include <vector>

#include "loopback.h"

namespace aldersill::tools {

class UdpRelay {
 public:
  // Throws std::runtime_error if it cannot bind a socket for each member.
  explicit UdpRelay(int members);
  ~UdpRelay();

  // Where `member` is reached.
  std::uint16_t port(int member) const { return ports_[member]; }
  // Where its process listens. Until then its datagrams, and those to it, are dropped.
  void SetMemberPort(int member, std::uint16_t port);
  // Drops all datagrams in that direction from now on.
  void Cut(int from, int to);
  void HealAll();
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Run();
  void Receive(std::size_t to);
  void Forward(std::uint16_t sender_port, std::size_t to, std::span<const char> datagram);

  std::vector<Socket> sockets_;
  std::vector<std::uint16_t> ports_;
  std::mutex mutex_;  // guards the next two
  std::vector<std::uint16_t> member_ports_;
  std::set<std::pair<int, int>> cuts_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_UDP_RELAY_H_

// Relays datagrams between cluster members on loopback and can cut links. The other members reach a member at
// its endpoint of the relay; the relay forwards a datagram from the sender's endpoint. It runs in one thread.
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

  // The port of the relay at which the other members reach `member`.
  std::uint16_t port(int member) const { return ports_[member]; }
  // Sets the port on which the member's process listens. Until then all datagrams from and to it are dropped.
  void SetMemberPort(int member, std::uint16_t port);
  // Drops all datagrams in that direction until HealAll().
  void Cut(int from, int to);
  void HealAll();
  // Number of datagrams dropped so far.
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

// The UDP links between dispatchers, on the rig's event loop. Each dispatcher has an endpoint here, which
// forwards datagrams to the process so that they appear to come from the sender's endpoint. Each direction
// between two dispatchers can drop, delay, reorder and duplicate datagrams.
//
// tools/udp_relay.h is its counterpart for tests that run in one thread and only need partitions.
#ifndef ALDERSILL_TESTS_FLEET_DATAGRAM_LINKS_H_
#define ALDERSILL_TESTS_FLEET_DATAGRAM_LINKS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::fleet {

class DatagramLinks {
 public:
  // The faults of one direction of a link.
  struct Impairment {
    bool cut = false;
    int loss_percent = 0, duplicate_percent = 0;
    Micros delay = 0;
    Micros jitter = 0;  // upper bound of a random additional delay, which reorders datagrams
  };
  // Throws std::runtime_error if it cannot bind a socket for each dispatcher.
  DatagramLinks(event_base* base, int dispatchers, std::uint64_t seed);
  ~DatagramLinks();

  // The port at which the others reach `dispatcher`.
  std::uint16_t port(int dispatcher) const { return endpoints_[dispatcher]->port; }
  // Sets the port at which the dispatcher's process listens.
  void SetProcessPort(int dispatcher, std::uint16_t port) { endpoints_[dispatcher]->process_port = port; }
  Impairment& impairment(int from, int to) { return impairments_[{from, to}]; }
  // Sends a datagram of random bytes and length from the endpoint of `from` to the process of `to`.
  void SendRandomDatagram(int from, int to);
  int forwarded() const { return forwarded_; }
  int dropped() const { return dropped_; }

 private:
  struct Endpoint {
    DatagramLinks* links = nullptr;
    int dispatcher = 0;
    int fd = -1;
    std::uint16_t port = 0, process_port = 0;
    EventPtr<event> readable;
  };
  struct Datagram {
    int from = 0, to = 0;
    std::string bytes;
  };
  static void OnReadable(evutil_socket_t fd, short, void* endpoint);
  void Forward(const Datagram& datagram);
  void SendDue();

  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::map<std::pair<int, int>, Impairment> impairments_;
  std::multimap<Micros, Datagram> delayed_;  // by the time at which they are sent
  Timer due_;
  pcg32 random_;
  int forwarded_ = 0, dropped_ = 0;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DATAGRAM_LINKS_H_

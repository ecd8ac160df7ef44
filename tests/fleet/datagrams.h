// UDP between dispatchers, on the rig's event loop: stands where each is reached, passes on what comes as if
// from where its sender is reached, and can cut, thin, delay, reorder and double it, one way at a time.
#ifndef ALDERSILL_TESTS_FLEET_DATAGRAMS_H_
#define ALDERSILL_TESTS_FLEET_DATAGRAMS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"

namespace aldersill::fleet {

class DatagramLinks {
 public:
  struct Trouble {
    bool cut = false;
    int lost_percent = 0, doubled_percent = 0;
    Micros delay = 0;
    Micros jitter = 0;  // each is later by up to this, so that they pass one another
  };
  DatagramLinks(event_base* base, int dispatchers, std::uint64_t seed);
  ~DatagramLinks();

  std::uint16_t port(int dispatcher) const { return places_[dispatcher]->port; }  // where it is reached
  void SetReal(int dispatcher, std::uint16_t port) { places_[dispatcher]->real = port; }
  Trouble& trouble(int from, int to) { return troubles_[{from, to}]; }
  // Sends one of random bytes and length, as if from `from`.
  void Stray(int from, int to);
  int carried() const { return carried_; }
  int dropped() const { return dropped_; }

 private:
  struct Place {
    DatagramLinks* links = nullptr;
    int number = 0;
    int fd = -1;
    std::uint16_t port = 0, real = 0;
    EventPtr<event> readable;
  };
  static void OnReadable(evutil_socket_t fd, short, void* place);
  void Carry(int from, int to, std::string bytes);
  void SendDue();

  std::vector<std::unique_ptr<Place>> places_;
  std::map<std::pair<int, int>, Trouble> troubles_;
  struct Waiting {
    int from, to;
    std::string bytes;
  };
  std::multimap<Micros, Waiting> waiting_;  // by when it goes on
  Timer due_;
  pcg32 random_;
  int carried_ = 0, dropped_ = 0;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DATAGRAMS_H_

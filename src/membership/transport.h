// Membership's datagrams over UDP on the event loop: seals and opens, encodes and decodes, decides nothing.
// The loop's thread only. One descriptor; what cannot be sent at once is lost, as the network may lose it.
#ifndef ALDERSILL_SRC_MEMBERSHIP_TRANSPORT_H_
#define ALDERSILL_SRC_MEMBERSHIP_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "membership/sealer.h"
#include "membership/types.h"
#include "net/endpoint.h"
#include "net/event_loop.h"

namespace aldersill::membership {

struct TransportCounters {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
  std::uint64_t unsent = 0;  // an address that is none, or a socket without room
};

class Transport {
 public:
  using Came = std::function<void(std::string address, Packet packet)>;
  // `now` reads as Unix time. Throws std::runtime_error that names the field if it cannot listen.
  Transport(event_base* base, const Endpoint& listen, std::vector<Key> keys, std::function<Micros()> now,
            Came came);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  void Send(const std::string& address, const Packet& packet);
  void ReplaceKeys(std::vector<Key> keys) { sealer_.ReplaceKeys(std::move(keys)); }
  int port() const { return port_; }
  const TransportCounters& counters() const { return counters_; }
  const Sealer& sealer() const { return sealer_; }

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* self);

  std::function<Micros()> now_;
  Came came_;
  Sealer sealer_;
  evutil_socket_t fd_ = -1;
  int port_ = 0;
  EventPtr<event> readable_;
  TransportCounters counters_;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_TRANSPORT_H_

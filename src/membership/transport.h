// Sends and receives membership's packets over UDP on the event loop, encoded and sealed. Used by the loop's
// thread alone. It owns one descriptor; a datagram that cannot be sent at once is dropped.
#ifndef ALDERSILL_SRC_MEMBERSHIP_TRANSPORT_H_
#define ALDERSILL_SRC_MEMBERSHIP_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "membership/sealer.h"
#include "membership/types.h"
#include "net/endpoint.h"
#include "net/event_ptr.h"

namespace aldersill::membership {

struct TransportCounters {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
  std::uint64_t unsent = 0;  // invalid address or full socket buffer
};

class Transport {
 public:
  using PacketHandler = std::function<void(std::string address, Packet packet)>;
  // `now` returns Unix time. Throws std::runtime_error that names the setting if it cannot listen.
  Transport(event_base* base, const Endpoint& listen, std::vector<Key> keys, std::function<Micros()> now,
            PacketHandler handler);
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
  // Receives one datagram; false if none is waiting.
  bool ReceiveOne();

  std::function<Micros()> now_;
  PacketHandler handler_;
  Sealer sealer_;
  evutil_socket_t fd_ = -1;
  int port_ = 0;
  EventPtr<event> readable_;
  TransportCounters counters_;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_TRANSPORT_H_

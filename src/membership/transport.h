// Sends and receives membership's packets as sealed UDP datagrams on the event loop. Only the loop's thread
// may use it. It owns one socket and drops datagrams that cannot be sent at once.
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
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;  // datagrams and their bytes
  std::uint64_t unsent = 0;  // dropped for an invalid address or an error of the socket, as a full buffer
};

class Transport {
 public:
  using PacketHandler = std::function<void(std::string address, Packet packet)>;
  // `now` returns Unix time. Throws std::runtime_error naming the setting if the address cannot be bound.
  Transport(event_base* base, const Endpoint& listen, std::vector<Key> keys, std::function<Micros()> now,
            PacketHandler handler);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Encodes, seals and sends a packet. `address` is that of the receiver.
  void Send(const std::string& address, const Packet& packet);
  void ReplaceKeys(std::vector<Key> keys) { sealer_.ReplaceKeys(std::move(keys)); }
  // The local port, also if the setting left the choice to the kernel.
  int port() const { return port_; }
  const TransportCounters& counters() const { return counters_; }
  const Sealer& sealer() const { return sealer_; }

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* self);
  // Receives one datagram and handles its packet. Returns false if none is waiting.
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

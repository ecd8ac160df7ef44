// SWIM's dissemination component. It builds every outgoing packet, piggybacks the queued updates and gossip
// messages on it, and sends packets of its own once per gossip interval.
#ifndef ALDERSILL_SRC_MEMBERSHIP_DISSEMINATION_H_
#define ALDERSILL_SRC_MEMBERSHIP_DISSEMINATION_H_

#include <string>

#include "membership/broadcast_queue.h"
#include "membership/peer_selector.h"

namespace aldersill::membership {

class Dissemination {
 public:
  Dissemination(ProtocolState& state, const MemberTable& table, PeerSelector& peers);

  // Schedules the first gossip round.
  void Start();
  // Queues an update for piggybacking; it replaces a queued update about the same member.
  void EnqueueUpdate(const Update& update);
  // Queues a gossip message. A message that does not fit into a packet is dropped.
  void EnqueueGossip(GossipMessage message);
  // Sends a packet with `message` to an address. `to_member` is the receiver's name if known: if that member
  // is suspect, the packet informs it of its suspicion.
  void Send(const std::string& address, Message message, const std::string& to_member = "");
  // Sends a packet to a known member.
  void SendToMember(const std::string& member, Message message);
  // Sends a Gossip packet to a known member and informs it of its suspicion if it is suspect.
  void SendGossipTo(const std::string& member);
  // Sends gossip to random members and schedules the next round. Extra packets follow while gossip messages
  // are queued.
  void SendGossipRound();

  Micros next_due() const { return next_gossip_; }
  // Moves the next gossip round to `time` if it is due earlier.
  void PostponeTo(Micros time);

 private:
  bool idle() const { return updates_.empty() && gossip_.empty(); }
  // How often each update is transmitted; it grows with the logarithm of the group's size.
  int UpdateTransmissions() const;

  ProtocolState& state_;
  const MemberTable& table_;
  PeerSelector& peers_;
  BroadcastQueue<Update> updates_;
  BroadcastQueue<GossipMessage> gossip_;
  Micros next_gossip_ = 0;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_DISSEMINATION_H_

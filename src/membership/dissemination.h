// SWIM's dissemination component: builds every packet, with the queued updates and gossip messages
// piggybacked, and sends gossip of its own once in each gossip interval.
#ifndef ALDERSILL_SRC_MEMBERSHIP_DISSEMINATION_H_
#define ALDERSILL_SRC_MEMBERSHIP_DISSEMINATION_H_

#include <string>

#include "membership/broadcast_queue.h"
#include "membership/peer_selector.h"

namespace aldersill::membership {

class Dissemination {
 public:
  Dissemination(ProtocolState& state, const MemberTable& table, PeerSelector& peers);

  void Start();
  void EnqueueUpdate(const Update& update);
  // A message too long for any packet is dropped.
  void EnqueueGossip(GossipMessage message);
  // `to_member`: the receiver's name where it is known; a suspect then learns of its suspicion.
  void Send(const std::string& address, Message message, const std::string& to_member = "");
  void SendToMember(const std::string& member, Message message);
  // The same, with the member's own suspicion piggybacked.
  void SendGossipTo(const std::string& member);
  void SendGossipRound();

  Micros next_due() const { return next_gossip_; }
  void PostponeTo(Micros time);

 private:
  bool idle() const { return updates_.empty() && gossip_.empty(); }
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

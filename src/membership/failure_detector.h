// SWIM's failure detector: in each protocol period one member is pinged directly; if it sends no ack in time,
// other members are asked to ping it; if none of them reports an ack by the end of the period, it is accused.
#ifndef ALDERSILL_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_
#define ALDERSILL_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "membership/dissemination.h"

namespace aldersill::membership {

class FailureDetector {
 public:
  FailureDetector(ProtocolState& state, const MemberTable& table, PeerSelector& peers,
                  Dissemination& dissemination);

  void Start();
  Micros next_due() const;
  bool PeriodIsOver() const { return next_period_ <= state_.now; }
  // Ends the current probe. If its target did not answer: the accusation, for the caller to apply.
  std::optional<Update> EndPeriod();
  void BeginPeriod();
  void SendDueIndirectPings();
  void SendDueNegativeAcks();

  void HandlePing(const std::string& address, const Ping& ping);
  void HandleIndirectPing(const std::string& address, const IndirectPing& ping);
  void HandleAck(const std::string& from, const Ack& ack);
  void HandleNegativeAck(const NegativeAck& ack);

  // Gives up the current probe: the target is not accused.
  void AbandonProbe() { probe_.reset(); }
  void AbandonRelays() { relays_.clear(); }
  void PostponeTo(Micros time);

 private:
  struct Probe {
    std::string target;
    std::uint32_t number = 0;
    int negative_acks_expected = 0;
    bool acked = false;
    bool indirect_pings_sent = false;
    Micros indirect_pings_at = 0;
  };
  // An indirect ping on another member's behalf.
  struct Relay {
    std::string address;       // of the member that asked for it
    std::uint32_t number = 0;  // of that member's probe
    Micros negative_ack_at = 0;
  };
  bool AwaitsDirectAck() const { return probe_ && !probe_->acked && !probe_->indirect_pings_sent; }

  ProtocolState& state_;
  const MemberTable& table_;
  PeerSelector& peers_;
  Dissemination& dissemination_;
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Relay> relays_;  // by the number of this member's ping
  std::uint32_t next_number_ = 1;
  Micros next_period_ = 0;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_

// SWIM's failure detector. In each protocol period it pings one member directly. If that member does not ack
// in time, the detector asks other members to ping it; if no ack has arrived by the end of the period, it
// accuses the member.
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

  // Schedules the first protocol period.
  void Start();
  // When the detector next has something to do.
  Micros next_due() const;
  bool PeriodIsOver() const { return next_period_ <= state_.now; }
  // Ends the current probe. Returns the accusation, for the caller to apply, if the target did not answer.
  std::optional<Update> EndPeriod();
  // Pings the next target and schedules the following period.
  void BeginPeriod();
  // Sends the indirect pings if the target's direct ack is overdue.
  void SendDueIndirectPings();
  // Sends a negative ack for each overdue indirect ping, and forgets it.
  void SendDueNegativeAcks();

  void HandlePing(const std::string& address, const Ping& ping);
  void HandleIndirectPing(const std::string& address, const IndirectPing& ping);
  void HandleAck(const std::string& from, const Ack& ack);
  void HandleNegativeAck(const NegativeAck& ack);

  // Drops the current probe without accusing the target.
  void AbandonProbe() { probe_.reset(); }
  // Drops the indirect pings on other members' behalf.
  void AbandonRelays() { relays_.clear(); }
  // Moves the next protocol period to `time` if it is due earlier.
  void PostponeTo(Micros time);

 private:
  // This member's probe of the current period.
  struct Probe {
    std::string target;
    std::uint32_t number = 0;
    int negative_acks_expected = 0;  // members asked that have not sent a negative ack
    bool acked = false;
    bool indirect_pings_sent = false;
    Micros indirect_pings_at = 0;  // when the direct ack is overdue
  };
  // A ping that this member sent on another member's behalf.
  struct Relay {
    std::string address;         // of the member that asked for it
    std::uint32_t number = 0;    // of that member's probe
    Micros negative_ack_at = 0;  // when the negative ack is due
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

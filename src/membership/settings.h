// The settings of membership. The defaults are SWIM's (Das, Gupta, Motivala 2002) for a local network with
// Lifeguard's extensions (Dadgar, Phillips, Currey 2018); docs/membership.md gives the reason where one
// differs.
#ifndef ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_
#define ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/types.h"

namespace aldersill::membership {

struct Settings {
  std::string name;               // of this member, the same after a restart
  std::string address;            // at which the other members reach it
  std::uint32_t weight = 100;     // its portion of shared duties, in percent of the usual
  std::vector<std::string> join;  // addresses to contact at the start, and again when they are lost

  // Failure detection.
  Micros probe_interval = kSecond;            // SWIM's protocol period
  Micros probe_timeout = 500 * kMillisecond;  // for a direct ack; less than the interval
  int indirect_probes = 3;                    // members asked to probe a target that sent no direct ack
  int max_health_score = 8;                   // bound of Lifeguard's local health multiplier

  // Suspicion.
  int suspicion_min_periods = 4;     // protocol periods that a suspect has at least for a refutation
  int suspicion_max_multiplier = 6;  // times that, while no other member has confirmed the suspicion
  int confirmations = 2;             // further accusers that bring the timeout down to its minimum

  // Dissemination.
  Micros gossip_interval = 200 * kMillisecond;
  int gossip_fanout = 3;
  int retransmissions = 4;               // times ceil(log10(members + 1)): transmissions of each update
  int gossip_transmissions = 4;          // transmissions of each gossip message: a later one soon replaces it
  int gossip_burst = 12;                 // further packets in a gossip interval while gossip messages wait
  std::size_t max_packet_bytes = 1'200;  // before a packet is sealed
  std::size_t max_gossip_messages = 4'096;  // queued; beyond that the most transmitted one is dropped

  // Anti-entropy and the member table.
  Micros anti_entropy_interval = 10 * kSecond;  // between exchanges of digests with another member
  Micros dead_retention = 3'600 * kSecond;      // a dead member is remembered, and contacted, for this long
  std::size_t max_members = 1'024;              // remembered dead members included

  bool operator==(const Settings&) const = default;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_

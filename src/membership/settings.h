// The settings of membership. The defaults are those of SWIM (Das, Gupta, Motivala 2002) for a local network
// and of Lifeguard's extensions (Dadgar, Phillips, Currey 2018). docs/membership.md gives the reason for each
// default that differs.
#ifndef ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_
#define ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/types.h"

namespace aldersill::membership {

struct Settings {
  std::string name;               // of this member; must stay the same after a restart
  std::string address;            // at which the other members reach it
  std::uint32_t weight = 100;     // its share of shared duties, in percent of the default share
  std::vector<std::string> join;  // addresses to contact at the start and whenever no living member has them

  // Failure detection.
  Micros probe_interval = kSecond;            // SWIM's protocol period
  Micros probe_timeout = 500 * kMillisecond;  // for a direct ack; must be less than the interval
  int indirect_probes = 3;                    // members asked to ping a target that sent no direct ack
  int max_health_score = 8;                   // upper bound of Lifeguard's local health score

  // Suspicion.
  int suspicion_min_periods = 4;     // minimum suspicion timeout, in protocol periods
  int suspicion_max_multiplier = 6;  // maximum timeout (no confirmation yet), in minimum timeouts
  int confirmations = 2;             // further accusers that reduce the timeout to its minimum

  // Dissemination.
  Micros gossip_interval = 200 * kMillisecond;
  int gossip_fanout = 3;         // random members that get gossip in each gossip interval
  int retransmissions = 4;       // transmissions of an update, in units of ceil(log10(members + 1))
  int gossip_transmissions = 4;  // of a gossip message; few, because a later message soon replaces it
  int gossip_burst = 12;  // maximum of extra packets per gossip interval while gossip messages are queued
  std::size_t max_packet_bytes = 1'200;     // size of a packet before it is sealed
  std::size_t max_gossip_messages = 4'096;  // queue limit; above it the most transmitted message is dropped

  // Anti-entropy and the member table.
  Micros anti_entropy_interval = 10 * kSecond;  // between digests sent to a random member
  Micros dead_retention = 3'600 * kSecond;      // how long a dead member is remembered and contacted
  std::size_t max_members = 1'024;  // limit of the member table, including remembered dead members

  bool operator==(const Settings&) const = default;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_

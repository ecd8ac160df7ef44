// How membership behaves. Source of the defaults: SWIM (Das, Gupta, Motivala 2002) for a local network, with
// Lifeguard's (Dadgar, Phillips, Currey 2018); docs/membership.md says why each differs where it does.
#ifndef ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_
#define ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/types.h"

namespace aldersill::membership {

struct Settings {
  std::string name;               // of this instance, the same after a restart
  std::string address;            // where the others reach it
  std::uint32_t weight = 100;     // its share of shared duties, in percent of the usual
  std::vector<std::string> join;  // addresses to ask at the start, and to try again when they are lost
  Micros probe_interval = kSecond;
  Micros probe_timeout = 500 * kMillisecond;  // for a direct answer; less than the interval
  int indirect_probes = 3;                    // how many are asked to try where none came
  int suspicion_rounds = 4;                   // probe intervals that a suspect has at least to refute
  int suspicion_most = 6;                     // times that, where nobody else has confirmed it
  int confirmations = 2;                      // other accusers that bring it down to the least
  Micros gossip_interval = 200 * kMillisecond;
  int gossip_fanout = 3;
  int retransmissions = 4;                 // times ceil(log10(members + 1)): how often an update rides along
  int gossip_transmissions = 4;            // how often a rumor rides along: a later one replaces it soon
  int gossip_burst = 12;                   // packets more in a gossip interval, while rumors wait
  Micros compare_interval = 10 * kSecond;  // views are compared with another's, and with one lost
  Micros dead_kept = 3'600 * kSecond;      // a dead member is remembered, and tried, for this long
  int health_most = 8;                     // how far an instance that is slow itself stretches its own times
  std::size_t datagram = 1'200;            // bytes of a packet before it is sealed, at most
  std::size_t most_members = 1'024;        // the dead that are remembered included
  std::size_t most_gossip_messages = 4'096;  // waiting to ride along; the longest told goes first
  bool operator==(const Settings&) const = default;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SETTINGS_H_

// One tenant's token bank and job buffer of Berger and Whitt's throttle.
#ifndef ALDERSILL_SRC_DISPATCH_TOKEN_BANK_H_
#define ALDERSILL_SRC_DISPATCH_TOKEN_BANK_H_

#include <algorithm>
#include <cmath>
#include <deque>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/constants.h"

namespace aldersill::dispatch {

// The token stream's present properties, from which capacities follow.
struct TokenStream {
  double rate = 1.0;        // R, tokens a second
  double mean_price = 1.0;  // tokens that a job pays
  Micros shortest_target = 0;
};

struct TokenBank {
  double share = 0.0;     // of the token stream
  double pass = 0.0;      // of stride scheduling among the tenants
  int tokens = 0;         // T
  int owed = 0;           // J: tokens that the buffered jobs still have to pay
  int highest_price = 1;  // of a job so far
  std::deque<RequestId> buffered{};

  // Jobs that a bank holds however slowly its tokens come. The share of jobs that a throttle rejects by
  // chance depends on its capacity in jobs, not in seconds: at three quarters of the token rate, a bank that
  // holds two jobs rejects a tenth of them, one that holds eight a hundredth. With a hundred nodes, a node
  // may get one token of a tenant every ten seconds.
  static constexpr double kJobs = 8.0;

  // C_T: some jobs, a second of the tenant's tokens and their usual deviation. At least the highest price.
  int Capacity(const TokenStream& stream) const {
    const double in_a_second = share * stream.rate;
    return highest_price +
           static_cast<int>(kJobs * stream.mean_price + in_a_second + 2.0 * std::sqrt(in_a_second));
  }
  // C_J: the tokens issued while a job may be buffered; small, as the paper's section 6 advises. At least the
  // highest price.
  int BufferCapacity(const TokenStream& stream) const {
    return std::max(highest_price,
                    static_cast<int>(share * stream.rate * stream.shortest_target / 2.0 / kSecond));
  }
  // U = T - J + C_J: a job is admitted if its price is no higher.
  int Counter(const TokenStream& stream) const { return tokens - owed + BufferCapacity(stream); }
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_TOKEN_BANK_H_

// One tenant's token bank and job buffer, as in Berger and Whitt's throttle (throttle.h).
#ifndef ALDERSILL_SRC_DISPATCH_TOKEN_BANK_H_
#define ALDERSILL_SRC_DISPATCH_TOKEN_BANK_H_

#include <algorithm>
#include <cmath>
#include <deque>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/constants.h"

namespace aldersill::dispatch {

// The present properties of the token stream, which determine the capacities of banks and buffers.
struct TokenStream {
  double rate = 1.0;           // R in the paper, in tokens a second
  double mean_price = 1.0;     // mean price of a job, in tokens
  Micros shortest_target = 0;  // shortest target of all classes
};

// The state of one tenant's bank and buffer. The symbols in the comments are those of the paper.
struct TokenBank {
  double share = 0.0;                // share of the token stream, 0 to 1
  double pass = 0.0;                 // pass value of stride scheduling among the tenants
  int tokens = 0;                    // T, the tokens in the bank
  int owed = 0;                      // J, the tokens that are still unpaid for the buffered jobs
  int highest_price = 1;             // highest price of a job so far, in tokens
  std::deque<RequestId> buffered{};  // in the order of their arrivals

  // Minimum capacity of a bank, in jobs of the mean price. The share of jobs that a throttle rejects by
  // chance depends on its capacity in jobs, not in seconds: if jobs arrive at three quarters of the token
  // rate, a bank that holds two jobs rejects a tenth of them, and one that holds eight jobs rejects a
  // hundredth. With a hundred nodes, a node may get only one token of a tenant every ten seconds.
  static constexpr double kMinJobs = 8.0;

  // Upper bound of a capacity without its highest price: far below int's largest value, so that sums of
  // capacities stay in range.
  static constexpr double kMaxTokens = 100'000'000.0;
  // The whole tokens of a positive number. Conversion of a double beyond int's range would be undefined.
  static int WholeTokens(double tokens) { return static_cast<int>(std::min(kMaxTokens, tokens)); }

  // C_T, the capacity of the bank in tokens: the highest price, kMinJobs mean jobs, one second of the
  // tenant's tokens and twice the standard deviation of that number.
  int Capacity(const TokenStream& stream) const {
    const double tokens_per_second = share * stream.rate;
    return highest_price +
           WholeTokens(kMinJobs * stream.mean_price + tokens_per_second + 2.0 * std::sqrt(tokens_per_second));
  }
  // C_J, the capacity of the buffer in tokens: the tokens that are issued while a job may wait in the buffer
  // (half of the shortest target), at least the highest price. It is small, as section 6 of the paper
  // advises.
  int BufferCapacity(const TokenStream& stream) const {
    return std::max(highest_price, WholeTokens(share * stream.rate * stream.shortest_target / 2.0 / kSecond));
  }
  // U = T - J + C_J. A job is admitted if its price does not exceed it.
  int Counter(const TokenStream& stream) const { return tokens - owed + BufferCapacity(stream); }
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_TOKEN_BANK_H_

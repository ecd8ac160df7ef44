// Learns the throttle's token rate R, which Berger and Whitt's paper leaves open: it rises with each accepted
// attempt and falls with each sign of overload (time-outs, lost jobs, late starts and rejections that end a
// request).
#ifndef ALDERSILL_SRC_DISPATCH_RATE_CONTROL_H_
#define ALDERSILL_SRC_DISPATCH_RATE_CONTROL_H_

#include "dispatch/arrival_rate.h"
#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/job_pricing.h"

namespace aldersill::dispatch {

// How long an attempt took to start, in microseconds.
struct StartDelay {
  double measured = 0.0;
  double usual = 0.0;    // at a free worker of its zone
  double allowed = 0.0;  // a later start misses the latency objective
};

class RateControl {
 public:
  RateControl(Context& context, const Fleet& fleet, const JobPricing& pricing);

  // Sets the initial rate: this node's share of the quotas or, without any, of what the listed workers can
  // run.
  void Begin() { rate_ = InitialRate(); }

  double rate() const { return rate_; }  // R, tokens a second
  // Whether more attempts meet a sign of overload than the rate tolerates without falling.
  bool IsOverloaded() const;

  void RecordArrival(int price);
  void RecordStart(const StartDelay& delay);
  void RecordAnswer(bool in_time);
  // The worker rejected the attempt; `final`: nothing further can be tried.
  void RecordRejection(bool final);
  // A time-out, a lost job or a failed connection.
  void RecordFailure();

 private:
  double InitialRate() const;
  double NeededRate() const;
  void Increase(double step);
  void Decrease();
  void LearnOverload(bool overloaded);
  void SetRate(double rate, double initial);

  Context& context_;
  const Fleet& fleet_;
  const JobPricing& pricing_;
  const double quota_;  // this node's part, requests a second
  ArrivalRate arrivals_;
  double rate_ = 1.0;
  double overload_share_ = 0.0;   // recent share of attempts that met a sign of overload
  double rejection_share_ = 0.0;  // share of rejections among the recent signs of overload
  bool any_accepted_ = false;     // a worker has accepted an attempt
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_RATE_CONTROL_H_

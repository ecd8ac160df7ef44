// Adapts the throttle's token rate R, whose value Berger and Whitt's paper leaves open. The rate rises with
// each accepted attempt and falls with each sign of overload: time-outs, lost jobs, failed connections, late
// starts or answers, and rejections that end a request.
#ifndef ALDERSILL_SRC_DISPATCH_RATE_CONTROL_H_
#define ALDERSILL_SRC_DISPATCH_RATE_CONTROL_H_

#include "dispatch/arrival_rate.h"
#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/job_pricing.h"

namespace aldersill::dispatch {

// How long an attempt took to start, in microseconds.
struct StartDelay {
  double measured = 0.0;  // delay of this attempt
  double usual = 0.0;     // usual delay at a free worker of the same zone
  double allowed = 0.0;   // longest delay with which a job still meets the latency objective
};

class RateControl {
 public:
  RateControl(Context& context, const Fleet& fleet, const JobPricing& pricing);

  // Sets the initial rate: this node's part of the quotas or, if there are none, of what the listed workers
  // can run.
  void Begin() { rate_ = InitialRate(); }

  double rate() const { return rate_; }  // R, tokens a second
  // Whether so many recent attempts met a sign of overload that the rate, at its initial value, would fall.
  bool IsOverloaded() const;

  // Records the arrival of a job with this price in tokens.
  void RecordArrival(int price);
  // Records that an attempt has started to run.
  void RecordStart(const StartDelay& delay);
  // Records an answer if workers do not report starts; `in_time`: whether it came as early as after a timely
  // start.
  void RecordAnswer(bool in_time);
  // Records that a worker rejected an attempt; `final`: whether the request cannot be tried again.
  void RecordRejection(bool final);
  // Records a time-out, a lost job or a failed connection.
  void RecordFailure();

 private:
  double InitialRate() const;
  double NeededRate() const;
  void Increase(double step);
  void Decrease();
  void UpdateOverloadShare(bool overloaded);
  void SetRate(double rate, double initial_rate);

  Context& context_;
  const Fleet& fleet_;
  const JobPricing& pricing_;
  const double quota_;  // this node's part of the quotas, in requests a second; 0 if there are none
  ArrivalRate arrivals_;
  double rate_ = 1.0;             // R, in tokens a second
  double overload_share_ = 0.0;   // share of recent attempts that met a sign of overload, 0 to 1
  double rejection_share_ = 0.0;  // share of rejections among the recent signs of overload, 0 to 1
  bool any_accepted_ = false;     // whether a worker has accepted an attempt
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_RATE_CONTROL_H_

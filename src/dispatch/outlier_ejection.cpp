#include "dispatch/outlier_ejection.h"

#include <algorithm>

namespace aldersill::dispatch {
namespace {

constexpr Micros kShortestBackoff = 500'000;
constexpr Micros kLongestBackoff = 8'000'000;
constexpr int kZoneFailures = 3;  // consecutive connect failures after which a zone counts as unreachable

// A random time from half to one and a half times the mean, in microseconds. The jitter prevents all nodes
// from sending to the worker again at the same time.
Micros Jittered(Random& random, double mean) { return static_cast<Micros>((0.5 + random.Uniform()) * mean); }

}  // namespace

void OutlierEjection::Eject(Worker* worker) {
  worker->ejection_backoff =
      std::clamp<Micros>(2 * worker->ejection_backoff, kShortestBackoff, kLongestBackoff);
  worker->ejected_until =
      context_.now() + Jittered(context_.random(), static_cast<double>(worker->ejection_backoff));
}

void OutlierEjection::RecordConnectFailure(Worker* worker) {
  Eject(worker);
  Zone& zone = fleet_.ZoneOf(*worker);
  if (++zone.connect_failures < kZoneFailures)
    return;
  zone.ejected_until = context_.now() + Jittered(context_.random(), kSecond);
  context_.LogRateLimited("zone of " + worker->name + " left alone: connections fail");
}

void OutlierEjection::RecordAnswer(Worker* worker) {
  worker->ejection_backoff = 0;
  worker->ejected_until = 0;
  Zone& zone = fleet_.ZoneOf(*worker);
  zone.connect_failures = 0;
  zone.ejected_until = 0;
}

}  // namespace aldersill::dispatch

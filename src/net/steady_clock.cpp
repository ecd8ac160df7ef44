#include "net/steady_clock.h"

#include <chrono>

namespace aldersill {

Micros SteadyNow() {
  using std::chrono::duration_cast, std::chrono::microseconds, std::chrono::steady_clock;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

}  // namespace aldersill

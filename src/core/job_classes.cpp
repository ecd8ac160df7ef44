#include "core/job_classes.h"

#include <algorithm>

namespace aldersill {

void JobClasses::Load(const std::vector<dispatch::ClassSettings>& classes,
                      std::vector<ClassCounters>* counters) {
  classes_.clear();
  for (const dispatch::ClassSettings& settings : classes) {
    auto counter = std::ranges::find(*counters, settings.name, &ClassCounters::name);
    if (counter == counters->end())
      counter = counters->insert(counter, ClassCounters{.name = settings.name});
    const auto index = static_cast<std::size_t>(counter - counters->begin());
    classes_.emplace(settings.name, JobClass{.settings = settings, .counter = index});
  }
}

const JobClasses::JobClass* JobClasses::Find(const std::string& name) const {
  const auto found = classes_.find(name);
  return found == classes_.end() ? nullptr : &found->second;
}

Micros JobClasses::LongestDeadline() const {
  Micros longest = 0;
  for (const auto& [name, job_class] : classes_)
    longest = std::max(longest, job_class.settings.deadline);
  return longest;
}

}  // namespace aldersill

#include "fleet/checker.h"

namespace aldersill::fleet {
namespace {

struct Story {
  std::string klass;
  int dispatcher = -1;
  int answers = 0, attempts = 0, runs = 0;
  bool broken = false, excused = false;
  std::set<std::uint64_t> out;
  std::set<std::string> results;
};

}  // namespace

Judgement Judge(const std::vector<Seen>& seen, const std::set<std::string>& once, int most_attempts) {
  Judgement j;
  std::map<std::string, Story> stories;
  const auto broken = [&j](const std::string& rule, const Seen& s) { j.broken.push_back(rule + ": " + s.request); };
  for (const Seen& s : seen) {
    if (s.what == Seen::What::kExcused) {
      for (auto& [id, story] : stories) story.excused |= story.dispatcher == s.dispatcher && story.answers == 0;
      continue;
    }
    const bool known = stories.contains(s.request);
    Story& story = stories[s.request];
    switch (s.what) {
      case Seen::What::kAsked:
        if (known) broken("asked twice under one id (the rig's own fault)", s);
        story.klass = s.klass;
        story.dispatcher = s.dispatcher;
        ++j.asked;
        break;
      case Seen::What::kAnswered:
        if (++story.answers > 1) broken("answered twice", s);
        if (s.status == 200) {
          ++j.served;
          if (!story.results.contains(s.text)) broken("served with what no worker made for it", s);
        } else {
          ++(s.status == 429 || s.status == 503 ? j.refused : j.failed);
        }
        break;
      case Seen::What::kBroken:
        story.broken = true;
        break;
      case Seen::What::kAttempt:
        if (!known) broken("sent, and never asked for", s);
        ++j.attempts;
        if (++story.attempts > most_attempts) broken("more attempts than allowed", s);
        if (!story.out.empty()) broken("two attempts out at once", s);
        story.out.insert(s.attempt);
        break;
      case Seen::What::kAttemptEnd:
        story.out.erase(s.attempt);
        break;
      case Seen::What::kRan:
        ++j.ran;
        if (++story.runs > 1 && once.contains(story.klass)) broken(story.klass + " ran twice", s);
        break;
      case Seen::What::kResult:
        story.results.insert(s.text);
        break;
      case Seen::What::kExcused:
        break;
    }
  }
  for (const auto& [id, story] : stories) {
    if (story.answers > 0 || story.dispatcher < 0) continue;
    if (story.excused) {
      ++j.excused;
    } else {
      j.broken.push_back(std::string(story.broken ? "connection ended with no answer: " : "never answered: ") + id);
    }
  }
  return j;
}

}  // namespace aldersill::fleet

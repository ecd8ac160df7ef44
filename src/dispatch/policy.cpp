// Every decision of the dispatcher. The interface (settings, events, actions) is
// aldersill/dispatch/dispatcher.h. Berger and Whitt's token-bank throttle with job buffer gates each tenant
// (Admit, GiveToken); what it lets through goes to a sampled worker of the job's kind expected free, else the
// least loaded (Pick). Departures are marked "Exception" with the danger that they guard against;
// docs/design.md lists them.
#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <unordered_map>
#include <utility>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/fleet.h"
#include "dispatch/random.h"
#include "dispatch/settings.h"
#include "dispatch/state.h"

namespace aldersill::dispatch {
namespace {

constexpr double kSecond = 1e6;
// Rate learning, per attempt: up a little while accepted, down more on a sign of overload. At its start the
// rate holds still where a share kUp / (kUp + kDown) of attempts, a sixth, meets such a sign.
constexpr double kUp = 0.02;
constexpr double kDown = 0.1;
constexpr double kSteady = kUp / (kUp + kDown);
constexpr double kRecent = 8.0 * kSecond;  // arrivals are counted over about this long
constexpr double kLearn = 0.05;        // weight of a new sample in pooled averages: about the last 20 samples
constexpr double kLearnWorker = 0.25;  // and of one worker, of which a node sees few
constexpr double kForget = 10.0 * kSecond;  // evidence on one worker fades to its peers' average over this
// Jobs that a bank holds however slowly its tokens come. What a throttle turns away by chance depends on its
// capacity in jobs, not in seconds: at three quarters of its tokens' rate one that holds two loses a
// tenth, one that holds eight a hundredth. One node of a hundred has a tenant's token every ten seconds.
constexpr double kBankJobs = 8.0;
constexpr int kSampled = 2;  // workers looked at per pool: the load of a choice does not grow with the fleet
// Runs lost where a key's data is not at hand: the job's own, those behind it, and those whose data goes.
constexpr double kFetch = 1.5;
constexpr double kPatience = 1.5;  // times what a late job takes: nothing heard for longer is a silence
constexpr Micros kAnswerWithin = 300'000;  // a probe's answer that takes longer is none
constexpr double kShort = 1.2;             // of a mean job: up to this long it may go to a cold worker
constexpr double kVaries = 1.3;            // mean square over squared mean of the running times of one class
constexpr double kOverQuota = 1.5;         // times their quotas: the most that all workers are taken to run
constexpr double kScarce = 0.3;  // worth lost by others per running time of waiting added to a worker
constexpr double kTie = 0.01;    // costs this close are equal: the least of them would never be tried again
// How old a load report is when it comes: refreshed now and then and told late, by no setting's word.
constexpr Micros kReportLag = 700'000;
constexpr int kNone = -1;

enum TimerKind : std::uint64_t { kTokenTimer, kDeadlineTimer, kListTimer, kSilenceTimer };
constexpr int kTimerShift = 56;

}  // namespace

class Dispatcher::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(Checked(std::move(settings))), random_(seed), fleet_(settings_) {
    for (const TenantSettings& t : settings_.tenants) {
      tenant_of_.emplace(t.name, static_cast<int>(tenants_.size()));
      tenants_.emplace_back().share = t.share;
      if (t.quota_per_s)
        quota_ += *t.quota_per_s / settings_.nodes;
    }
    // Jobs of no listed tenant live on what others leave, where there are shares.
    tenants_.emplace_back().share = settings_.tenants.empty() ? 1.0 : 1e-6;
    for (const ClassSettings& c : settings_.classes) {
      class_of_.emplace(c.name, static_cast<int>(run_time_.size()));
      run_time_.push_back(static_cast<double>(c.target));
      median_run_.push_back(static_cast<double>(c.target));
      shortest_target_ = std::min(shortest_target_, c.target);
    }
  }

  void Handle(Micros now, const Event& event, std::vector<Action>* actions) {
    now_ = std::max(now_, now);
    out_ = actions;
    // What happened counts before the tokens of the time that led up to it, which release held jobs: their
    // client or a worker may be gone. Only an arrival comes after those held.
    const bool arrival = std::holds_alternative<Arrival>(event);
    if (!arrival)
      std::visit([this](const auto& e) { On(e); }, event);
    if (!begun_)
      Begin();
    // A node that slept does not owe more tokens than its banks hold.
    next_token_ = std::max(next_token_, now_ - 30 * static_cast<Micros>(kSecond));
    for (; next_token_ <= now_; next_token_ += std::max<Micros>(1, static_cast<Micros>(kSecond / rate_)))
      GiveToken();
    for (Tenant& t : tenants_)
      RefuseOverdue(&t);
    if (arrival)
      On(std::get<Arrival>(event));
    WakeForTokens();
  }
  bool Avoids(const std::string& worker) const { return fleet_.Avoids(worker, now_); }

 private:
  // ---- The throttle ----

  void Begin() {
    begun_ = true;
    drawn_at_ = now_;
    mean_job_ = mean_price_ = MeanRunTime();
    rate_ = StartRate();
    // Full banks would burst at a restart, empty ones refuse what a calm fleet could take. The random phase
    // keeps nodes that start together from releasing held jobs in step.
    for (Tenant& t : tenants_)
      t.tokens = BankSize(t) / 2;
    next_token_ = now_ + static_cast<Micros>(random_.Uniform() * kSecond / rate_);
    if (settings_.subscribe)
      SetTimerIn(static_cast<Micros>(random_.Uniform() * settings_.must_ask_in / 100), kListTimer, 0);
  }

  // Tokens a second for one node: its part of the quotas; failing those, of what the listed workers can run.
  double StartRate() const {
    if (quota_ > 0.0)
      return std::max(1.0, quota_ * mean_tokens_);
    return std::max(1.0, fleet_.ready_slots() * kSecond / mean_job_ * mean_tokens_ / settings_.nodes);
  }

  // Tokens a second that the jobs of late asked for; where no quota tells what to start from, of those since
  // the first: a node that has just started would take a fraction of what comes for all of it.
  double Arriving() const { return Lasting() / (1.0 - std::exp(-Counted() / kRecent)); }
  double Lasting() const { return arriving_ * std::exp(-Since(arrived_at_) / kRecent); }
  double Counted() const { return std::max(kSecond, Since(counted_from_)); }

  // R at the least. Quotas are dealt out evenly, traffic is not: what arrives here, less the share that of
  // late met a sign of overload. A bank that fills just as fast as jobs come refuses by chance, and of many
  // nodes each counts few jobs: three deviations of the count on top, which go as strain comes.
  double Needed() const {
    const double a = Arriving(), swing = 3.0 * std::sqrt(a * kSecond / std::min(kRecent, Counted()));
    return std::max(a * (1.0 - strain_), (a + swing) * (1.0 - strain_ / (2.0 * kSteady)));
  }

  // C_T: some jobs, a second of the tenant's tokens and their usual swing. C_J: what they pay while a job may
  // be held, small as the paper's section 6 advises. Either holds the widest job.
  int BankSize(const Tenant& t) const {
    const double in_a_second = t.share * rate_;
    return t.widest + static_cast<int>(kBankJobs * mean_tokens_ + in_a_second + 2.0 * std::sqrt(in_a_second));
  }
  int BufferSize(const Tenant& t) const {
    return std::max(t.widest, static_cast<int>(t.share * rate_ * shortest_target_ / 2.0 / kSecond));
  }
  int Counter(const Tenant& t) const { return t.tokens - t.unpaid + BufferSize(t); }  // U = T - J + C_J

  void Admit(Request* r) {
    Tenant& t = tenants_[r->tenant];
    // Exception: k counts slots, and more where a class's running time is dear for its worth, told for a job
    // or for each unit of its work. By starts alone long jobs of little worth crowd out short ones of much.
    const double price = (settings_.priority_weight_by_work ? 1.0 : run_time_[r->job_class]) /
                         std::max(1e-3, Class(*r).priority_weight);
    mean_price_ += kLearn * (price - mean_price_);
    r->tokens = std::max(r->slots, static_cast<int>(std::lround(r->slots * price / mean_price_)));
    mean_tokens_ += kLearn * (r->tokens - mean_tokens_);
    mean_job_ += kLearn * (r->slots * run_time_[r->job_class] - mean_job_);
    t.widest = std::max(t.widest, r->tokens);
    if (arriving_ == 0.0 && quota_ == 0.0)
      counted_from_ = now_;
    arriving_ = Lasting() + r->tokens * kSecond / kRecent;
    arrived_at_ = now_;
    if (accepted_)
      rate_ = std::max(rate_, Needed());
    if (Counter(t) < r->tokens)
      return Finish(r);
    const int paid = std::min(t.tokens, r->tokens);
    t.tokens -= paid;
    r->unpaid = r->tokens - paid;
    t.unpaid += r->unpaid;
    if (r->unpaid == 0)
      return Dispatch(r);
    t.held.push_back(r->id);
  }

  void GiveToken() {
    const auto next = [](const Tenant& t) { return t.pass + 1.0 / t.share; };
    const auto by_pass = [&](const Tenant& a, const Tenant& b) { return next(a) < next(b); };
    const auto turn = std::min_element(tenants_.begin(), tenants_.end(), by_pass);
    turn->pass = next(*turn);
    if (Credit(&*turn))
      return;
    // An idle tenant's token passes to the neediest while attempts find room, or it would displace shares.
    if (strain_ > kSteady)
      return;
    const auto by_need = [this](const Tenant& a, const Tenant& b) { return Counter(a) < Counter(b); };
    Credit(&*std::min_element(tenants_.begin(), tenants_.end(), by_need));
  }

  // One token for a tenant: pays a slot of its head job, else goes to the bank; false if the bank is full.
  bool Credit(Tenant* t) {
    if (t->held.empty()) {
      const bool room = t->tokens < BankSize(*t);
      t->tokens = std::min(t->tokens + 1, BankSize(*t));
      return room;
    }
    Request& head = requests_.At(t->held.front());
    --t->unpaid;
    if (--head.unpaid > 0)
      return true;
    t->held.pop_front();
    Dispatch(&head);
    return true;
  }

  // A held job is refused while there is time left to run it elsewhere: half its target may pass here.
  void RefuseOverdue(Tenant* t) {
    for (std::size_t i = t->held.size(); i-- > 0;) {
      if (i >= t->held.size())
        continue;
      Request& r = requests_.At(t->held[i]);
      if (Since(r.arrived) >= Class(r).target / 2.0 || now_ >= r.deadline)
        Finish(&r);
    }
  }

  // Takes a job out of the buffer; what was paid for it goes to those behind it.
  void Unhold(Request* r) {
    Tenant& t = tenants_[r->tenant];
    const auto at = std::find(t.held.begin(), t.held.end(), r->id);
    if (at == t.held.end())
      return;
    t.held.erase(at);
    t.unpaid -= r->unpaid;
    for (int paid = r->tokens - r->unpaid; paid > 0; --paid)
      Credit(&t);
  }

  void WakeForTokens() {
    if (wake_at_ > now_ || std::ranges::all_of(tenants_, [](auto& t) { return t.held.empty(); }))
      return;
    wake_at_ = std::min(next_token_, now_ + shortest_target_ / 4 + 1);
    SetTimerIn(wake_at_ - now_, kTokenTimer, 0);
  }

  // The rate R: rises while workers accept, falls on time-outs, lost jobs, late starts and a 'full' that
  // leaves nothing more to try. Rises add and falls multiply: after a few late starts it soon returns.
  void LearnRate(double change) {
    if (change < 0.0)
      shallow_ -= kLearn * shallow_;
    strain_ += kLearn * ((change <= -kDown ? 1.0 : 0.0) - strain_);
    accepted_ = accepted_ || change > 0.0;
    const double start = StartRate(), most = std::max(2.0 * start, Needed());
    rate_ = std::clamp(rate_ + change * (change > 0.0 ? start : rate_), start / 8.0, most);
    if (rate_ <= start / 8.0)
      Tell("rate at its floor: most attempts start late, are lost or find no room");
  }

  // ---- Requests ----

  void On(const Arrival& a) {
    if (requests_.Has(a.request))
      return;
    const int job_class = Lookup(class_of_, a.job_class, kNone);
    // Nothing was sent: harmless to try elsewhere.
    if (job_class == kNone || a.time_left <= 0)
      return out_->push_back(Refuse{a.request});
    Request& r = requests_.Add(a.request);
    r.job_class = job_class;
    r.tenant = Lookup(tenant_of_, a.tenant, static_cast<int>(tenants_.size()) - 1);
    r.slots = std::max(1, a.slots);
    r.arrived = now_;
    r.deadline = now_ + a.time_left;
    r.key = a.key;
    if (r.key)
      keys_.Note(*r.key);
    SetTimerIn(a.time_left, kDeadlineTimer, r.id);
    ProbeNext();
    Admit(&r);
  }

  // Sends to the best worker; without one, the request ends unless an attempt is still out.
  void Dispatch(Request* r) {
    const Micros start_by = MayStartUntil(*r);
    const int index = now_ < start_by ? Pick(*r) : kNone;
    if (index == kNone)
      return r->HasOpen() ? void() : Finish(r);
    Worker& w = fleet_.worker(index);
    fleet_.NoteSent(index, r->slots, r->key);
    r->attempts.push_back(Attempt{index, now_});
    out_->push_back(Send{r->id, w.name, 0, start_by});
    SetTimerIn(static_cast<Micros>(Patience(*r)), kSilenceTimer, r->id);
  }

  // How long the answer to a job may take before its worker's silence tells something.
  double Patience(const Request& r) const { return kPatience * (Slack(r) + run_time_[r.job_class]); }

  // Exception: a worker that takes jobs and answers none holds them to the deadline, and no outcome tells of
  // it. Where nothing at all has come from it since a job was sent there too long ago, it is left alone as
  // one that cannot be reached, and the job is called back where it may run again. Where it may be asked, it
  // is asked first: of many nodes each hears of a worker so seldom that a queue looks like silence, and jobs
  // called back from queues are run twice when time is shortest.
  void LookForSilence(Request* r) {
    for (std::size_t i = 0; i < r->attempts.size() && !r->ended; ++i) {
      Attempt& a = r->attempts[i];
      const Micros waited = now_ - a.sent;
      if (!a.open || a.called_off || a.started != 0)
        continue;
      const double patience = Patience(*r);
      Worker& w = fleet_.worker(a.worker);
      const Micros quiet = now_ - std::max(a.sent, w.answered_at);
      if (waited + 1000 < patience || quiet + 1000 < patience) {
        SetTimerIn(static_cast<Micros>(patience) - std::min(waited, quiet), kSilenceTimer, r->id);
        continue;
      }
      if (settings_.probes && (w.asked_at == 0 || now_ - w.asked_at >= patience)) {
        w.asked_at = now_;
        out_->push_back(Probe{w.name});
      }
      if (settings_.probes && now_ - w.asked_at + 1000 < kAnswerWithin) {
        SetTimerIn(kAnswerWithin - (now_ - w.asked_at), kSilenceTimer, r->id);
        continue;
      }
      if (w.down_until <= now_)
        LeaveAlone(&w);
      const ClassSettings& c = Class(*r);
      const bool harmless =
          c.repeat == Repeat::kRepeatable || (c.repeat == Repeat::kKeyed && waited < c.window);
      const bool again = harmless && settings_.cancel && r->deadline - now_ > patience / 2 &&
                         std::ssize(r->attempts) < settings_.max_attempts &&
                         tenants_[r->tenant].tokens >= r->tokens;
      if (!again || std::exchange(a.called_off, true))
        continue;
      out_->push_back(Cancel{r->id, static_cast<int>(i)});
    }
  }

  // For a while that doubles, until it answers.
  void LeaveAlone(Worker* w) {
    w->back_off = std::clamp<Micros>(2 * w->back_off, 500'000, 8'000'000);
    w->down_until = now_ + static_cast<Micros>((0.5 + random_.Uniform()) * w->back_off);
  }

  // The ledger of rule 2: until when a further attempt is harmless whatever the earlier ones did; 0: never.
  Micros MayStartUntil(const Request& r) const {
    const ClassSettings& c = Class(r);
    if (r.ended || r.streaming || std::ssize(r.attempts) >= settings_.max_attempts)
      return 0;
    Micros until = r.deadline;
    for (const Attempt& a : r.attempts) {
      if ((a.open && !settings_.second_copies) || (a.may_have_run && c.repeat == Repeat::kUnsafe))
        return 0;
      if (a.may_have_run && c.repeat == Repeat::kKeyed)
        until = a.sent + std::min(c.window, until - a.sent);
    }
    return until;
  }
  bool MayTryAgain(const Request& r) const { return now_ < MayStartUntil(r); }
  bool MayRefuse(const Request& r) const {
    const ClassSettings& c = Class(r);
    return c.repeat == Repeat::kRepeatable || (c.repeat == Repeat::kKeyed && c.scope == KeyScope::kAll) ||
           r.MayHaveRunAt() == kNone;
  }

  void Finish(Request* r) {
    if (!std::exchange(r->ended, true))
      out_->push_back(MayRefuse(*r) ? Action(Refuse{r->id, RetryAfter(*r)}) : Action(Fail{r->id}));
    Unhold(r);
    CallOff(r, nullptr);
    if (!r->HasOpen())
      requests_.Erase(r->id);  // else its outcomes are still to come
  }

  // When the tenant's tokens will have paid for the job; spread, or those refused together return together.
  Micros RetryAfter(const Request& r) {
    if (!settings_.retry_after)
      return 0;
    const Tenant& t = tenants_[r.tenant];
    const double pay = (r.tokens + t.unpaid) * kSecond / (rate_ * t.share);
    return std::min(settings_.max_retry_after, static_cast<Micros>(pay * (0.5 + random_.Uniform())));
  }

  void CallOff(Request* r, const Attempt* keep) {
    for (std::size_t i = 0; settings_.cancel && i < r->attempts.size(); ++i) {
      Attempt& a = r->attempts[i];
      if (!a.open || &a == keep || std::exchange(a.called_off, true))
        continue;
      out_->push_back(Cancel{r->id, static_cast<int>(i)});
    }
  }

  void On(const StreamStarted& e) {
    if (requests_.FindOpen(e.request, e.attempt_number) != nullptr)
      requests_.At(e.request).streaming = true;
    On(Progress{e.request, e.attempt_number, true, 0.0});
  }

  void On(const Progress& e) {
    Attempt* a = requests_.FindOpen(e.request, e.attempt_number);
    if (a == nullptr || a->started != 0)
      return;
    Request& r = requests_.At(e.request);
    const bool first = !r.HasStarted();
    a->started = now_;
    // The usual delay is that of a free worker: quick to fall, slow to rise.
    const double delay = Since(a->sent);
    double& usual = fleet_.zone_of(fleet_.worker(a->worker)).start_delay;
    usual += (delay < usual || usual == 0.0 ? 0.5 : 0.01) * (delay - usual);
    // A start as on a free worker: rate lost to an overload that is over returns as fast as it fell. Above
    // its start so does what workers would turn away if they could not start it soon.
    const double step = delay > 2.0 * usual ? kUp : rate_ < StartRate() ? kDown : kDown * shallow_;
    LearnRate(delay > Slack(r) ? -kDown : std::max(kUp, step));
    if (first && !r.ended)
      CallOff(&r, a);
  }

  // How late a job of middling length may start and still be in time; few of a long-tailed class are average.
  double Slack(const Request& r) const {
    return Class(r).target + std::max(0.0, Class(r).stretch - 1.0) * median_run_[r.job_class];
  }

  void On(const AttemptEnded& e) {
    Attempt* a = requests_.FindOpen(e.request, e.attempt_number);
    if (a == nullptr)
      return;
    Request& r = requests_.At(e.request);
    Worker& w = fleet_.worker(a->worker);
    a->open = false;
    a->may_have_run =
        e.outcome != Outcome::kFull && e.outcome != Outcome::kConnectFailed && e.outcome != Outcome::kNotSent;
    fleet_.NoteEnded(a->worker, r.slots);
    Absorb(a->worker, e.report);
    Judge(&w, r, *a, e.outcome);
    r.ended = r.ended || e.request_ended;
    if (r.ended || now_ >= r.deadline)
      return Finish(&r);
    if (r.HasOpen())
      return;
    // One that may have run must pay again, so that failures cannot feed an overload with attempts.
    if (a->may_have_run && !PayFromBank(r))
      return Finish(&r);
    Dispatch(&r);
  }

  bool PayFromBank(const Request& r) {
    Tenant& t = tenants_[r.tenant];
    if (t.tokens < r.tokens || !MayTryAgain(r))
      return false;
    t.tokens -= r.tokens;
    return true;
  }

  void On(const ClientGone& e) {
    Request* r = requests_.Find(e.request);
    if (r == nullptr)
      return;
    r->ended = true;
    Finish(r);
  }

  void On(const TimerFired& e) {
    const std::uint64_t kind = e.token >> kTimerShift;
    if (kind == kListTimer)
      return AskForList();
    Request* r = requests_.Find(RequestId{e.token & ((1ULL << kTimerShift) - 1)});
    if (r == nullptr)
      return;
    if (kind == kSilenceTimer)
      return LookForSilence(r);
    if (kind == kDeadlineTimer && !r->streaming && now_ >= r->deadline)
      Finish(r);
  }

  // ---- Workers ----

  // What a choice of this worker costs: the chance that the answer comes late or never, as a share of the
  // worth, and the price of crossing zones. `extra` is time lost on the way, in average running times.
  double Cost(Worker* w, const Request& r, double extra) {
    Fade(w);
    const double run = run_time_[r.job_class];
    const double short_of = r.slots - FreeSlots(*w);
    const double wait = short_of > 8.0 ? short_of : std::log1p(std::exp(2.0 * short_of)) / 2.0;
    const double slower = fleet_.zone_of(*w).start_delay - fleet_.home_zone().start_delay;
    const bool away = w->zone != fleet_.home();
    if (away)
      extra += std::max(0.0, slower) / run;
    // What is left for waiting, against the expected wait, taken as exponential.
    const double left = std::max(0.1, Class(r).target / run + Class(r).stretch - w->pace - extra);
    const double queued = w->pace * wait / fleet_.kind_of(*w).slots;
    const double late = std::exp(-left / (queued + 0.05));
    // A slot taken where few are free is missed by the next job: free ones go first even if none is late.
    return 1.0 - (1.0 - late) * (1.0 - w->errors) + kScarce * (queued + extra) +
           (away ? settings_.price_cross_zone : 0.0);
  }

  // Expected free slots: the worker's own report, trusted less as it ages, else its kind's average; less what
  // we sent meanwhile. Without the ageing every node would push to the same worker once seen free.
  double FreeSlots(const Worker& w) const {
    const double room = (fleet_.free_share(w) - 1.0 + WarmShare(w)) * fleet_.kind_of(w).slots;
    const double usual = room + w.lean - (w.ours - fleet_.mean_ours());
    if (w.reported_at < 0)
      return usual;
    const double trust = std::exp(-Since(w.reported_at) / MeanRunTime());
    return usual + trust * (w.reported_free - w.sent_since - usual);
  }

  bool Cold(const Worker& w) const { return w.since > 0 && now_ - w.since < settings_.warm_after; }
  double WarmShare(const Worker& w) const {  // of its capacity, at the least: it warms no slower than evenly
    return !Cold(w)
               ? 1.0
               : settings_.cold_share + (1.0 - settings_.cold_share) * Since(w.since) / settings_.warm_after;
  }

  // Exception: rule 4. A cold worker gets from all nodes a rate at which even chance clusters stay below what
  // pushes it over. A node that meets it seldom cannot count that out in turns: each job that may go there is
  // drawn, with the chance that this node's part of the rate since its last draw amounts to, and goes there.
  // What was not used lapses after a third of a window, as a surge would have many nodes use at once what
  // they kept. Long jobs, few of which make a cluster, stay away.
  int DrawCold(const Request& r) {
    std::erase_if(cold_, [this](int w) {
      return !Cold(fleet_.worker(w)) || fleet_.worker(w).state != WorkerEntry::State::kReady;
    });
    const double size = r.slots * run_time_[r.job_class] / mean_job_;
    if (cold_.empty() || size > kShort)
      return kNone;
    const Micros since = std::min(now_ - std::exchange(drawn_at_, now_), settings_.fall / 3);
    double sizes = 0.0, classes = 0.0, parts = 0.0;
    for (const double run : run_time_) {
      const bool is_short = run <= kShort * mean_job_;
      sizes += is_short ? run / mean_job_ : 0.0;
      classes += is_short;
    }
    // By their parts: by turns large ones would get fewer jobs than they can bear, however sure the draw.
    for (const int w : cold_)
      parts += fleet_.part(fleet_.worker(w));
    std::size_t at = 0;
    for (double u = random_.Uniform() * parts; at + 1 < cold_.size(); ++at) {
      if ((u -= fleet_.part(fleet_.worker(cold_[at]))) <= 0.0)
        break;
    }
    const Worker& w = fleet_.worker(cold_[at]);
    // m + 4 sqrt(v m) = mean jobs that it can bear in a window, v their mean square over their mean: four
    // deviations fit under the bound. Three quarters for the window, a third of these for what was kept.
    // A node that began a while ago knows running times by its targets alone, which may tell little of them:
    // all workers are not taken to run far more than the quotas promise.
    const double quotas = quota_ > 0.0 ? kOverQuota * quota_ * settings_.nodes / kSecond : 1.0;
    const double jobs_run =
        std::min(fleet_.ready_slots() / mean_job_, quotas) * fleet_.part(w) * settings_.fall;
    const double bears = settings_.overload_factor * WarmShare(w) * jobs_run;
    const double v = kVaries * r.slots * sizes / classes;
    const double root = std::sqrt(4.0 * v + bears) - std::sqrt(4.0 * v);
    const double jobs = 0.75 * root * root * since / settings_.fall / settings_.nodes;
    return random_.Uniform() < parts / fleet_.part(w) * jobs / size ? cold_[at] : kNone;
  }

  bool Eligible(int index, const Request& r, const Worker* anchor, bool gently, int drawn) {
    Worker& w = fleet_.worker(index);
    const ClassSettings& c = Class(r);
    if (w.state != WorkerEntry::State::kReady)
      return false;
    if (gently && (w.down_until > now_ || fleet_.zone_of(w).down_until > now_))
      return false;
    // Where a keyed request may have run, only the group of that worker drops its repeats.
    if (anchor != nullptr && w.zone != anchor->zone)
      return false;
    if (anchor != nullptr && c.scope == KeyScope::kCell && w.cell != anchor->cell)
      return false;
    if (c.kind >= 0 && w.kind != c.kind + 1)
      return false;
    for (const Attempt& a : r.attempts) {
      if (a.worker == index && (a.open || gently))
        return false;
    }
    return !Cold(w) || index == drawn;
  }

  int Pick(const Request& r) {
    const ClassSettings& c = Class(r);
    const bool bound = c.repeat == Repeat::kKeyed && c.scope != KeyScope::kAll && r.MayHaveRunAt() != kNone;
    const Worker* anchor = bound ? &fleet_.worker(r.MayHaveRunAt()) : nullptr;
    const int away = (fleet_.home() + 1 + random_.Draw(fleet_.zones() - 1)) % fleet_.zones();
    const int drawn = DrawCold(r);
    if (drawn != kNone && Eligible(drawn, r, anchor, true, drawn))
      return drawn;
    int best = kNone;
    double best_cost = 0.0;
    const auto consider = [&](int w, bool gently, double fetches) {
      if (!Eligible(w, r, anchor, gently, drawn))
        return;
      Worker& worker = fleet_.worker(w);
      const double cost = Cost(&worker, r, !r.key || worker.HasKey(*r.key) ? 0.0 : fetches);
      if (best != kNone && cost >= best_cost - kTie)
        return;
      best = w;
      best_cost = cost;
    };
    // By the weights that the list tells: a node that meets a worker once in minutes never learns its size.
    const auto look = [&](const Pool& pool, std::size_t looks, bool gently) {
      looks = std::min(pool.size(), looks);
      const double from = random_.Uniform();
      for (std::size_t i = 0; i < looks; ++i)
        consider(pool.AtShare(std::fmod(from + 1.0 * i / looks, 1.0)), gently, kFetch);
    };
    const Pool& near = !bound                       ? fleet_.InZone(c.kind, fleet_.home())
                       : c.scope == KeyScope::kCell ? fleet_.InCell(anchor->cell)
                                                    : fleet_.InZone(c.kind, anchor->zone);
    // Jobs of one key look at the same few on every node, which have its data at hand: twice as many as its
    // share of the traffic fills, or a popular key would swamp them.
    if (r.key && !bound && !near.empty()) {
      const std::size_t homes = 1 + static_cast<std::size_t>(2.0 * keys_.Share(*r.key) * near.size());
      const std::size_t looks = std::min<std::size_t>(homes, 2 * kSampled), from = random_.Draw(homes);
      for (std::size_t i = 0; i < looks; ++i)
        consider(fleet_.OnRing(near, Mix(*r.key + (from + i * (homes / looks)) % homes)), true, kFetch / 2.0);
    }
    look(near, bound ? 4 * kSampled : kSampled, true);
    if (bound)
      return best;
    look(fleet_.InZone(c.kind, away), kSampled, true);
    for (const int w : fleet_.heard())
      consider(w, true, kFetch);
    if (best == kNone)
      look(fleet_.All(c.kind), 8 * kSampled, false);  // even where connects failed
    return best;
  }

  void Absorb(int index, const LoadReport& report) {
    Worker* w = &fleet_.worker(index);
    Kind& kind = fleet_.kind_of(*w);
    if (report.free_slots)
      kind.slots = std::max(kind.slots, std::floor(*report.free_slots + 0.3));
    const std::optional<double> free = FreeSlotsIn(report, kind.slots);
    if (!free)
      return;
    kind.queue = std::max(kind.queue, -*free);
    // Of a time that is over: what it told of jobs that end sooner than it comes says nothing any more.
    w->NoteFree(*free, now_ - kReportLag);
    // Looked at in every choice: a sample of many workers would hit few with a fresh report.
    fleet_.NoteHeard(index, 4 * kSampled);
    fleet_.free_share(*w) += kLearn * (w->reported_free / kind.slots - fleet_.free_share(*w));
  }

  void Fade(Worker* w) {
    const double keep = std::exp(-Since(std::exchange(w->judged_at, now_)) / kForget);
    const double pace = fleet_.kind_of(*w).pace;
    w->pace = pace + keep * (w->pace - pace);
    w->errors = fleet_errors_ + keep * (w->errors - fleet_errors_);
    w->lean *= keep;
  }

  void Judge(Worker* w, const Request& r, const Attempt& a, Outcome outcome) {
    Fade(w);
    Zone& zone = fleet_.zone_of(*w);
    if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent)
      return;
    if (outcome == Outcome::kConnectFailed) {
      // Several in a row in one zone: the zone is cut.
      LeaveAlone(w);
      if (++zone.failures >= 3) {
        zone.down_until = now_ + static_cast<Micros>((0.5 + random_.Uniform()) * kSecond);
        Tell("zone of " + w->name + " left alone: connections fail");
      }
      return LearnRate(-kDown);
    }
    if (outcome != Outcome::kTimeout && outcome != Outcome::kLost)
      w->answered_at = now_;
    // A 'full' is fresher than any report, whose age would hide it: else one that turns all away looks idle.
    if (outcome == Outcome::kFull) {
      w->NoteFree(-std::max(fleet_.kind_of(*w).slots, fleet_.kind_of(*w).queue), now_);
      shallow_ += kLearn * (1.0 - shallow_);
      w->lean -= kLearnWorker * (fleet_.kind_of(*w).slots + w->lean);
      return MayTryAgain(r) ? void() : LearnRate(-kDown);
    }
    const double failed = outcome == Outcome::kServed ? 0.0 : 1.0;
    if (outcome == Outcome::kServed || outcome == Outcome::kError) {
      zone.failures = 0;
      zone.down_until = w->back_off = w->down_until = 0;
    } else {
      LearnRate(-kDown);
    }
    w->errors += kLearnWorker * (failed - w->errors);
    fleet_errors_ += kLearn * (failed - fleet_errors_);
    if (failed > 0.0)
      return;
    const double ran = Since(a.started != 0 ? a.started : a.sent);
    double& usual = run_time_[r.job_class];
    // Clipped: one heavy job or pause convicts nobody.
    const double pace = std::clamp(ran / usual, 0.25, 4.0);
    fleet_.kind_of(*w).pace += kLearn * (pace - fleet_.kind_of(*w).pace);
    w->pace += kLearnWorker * (pace - w->pace);
    usual += kLearn * (ran - usual);
    median_run_[r.job_class] *= ran > median_run_[r.job_class] ? 1.0 + kLearn : 1.0 - kLearn;
    if (!settings_.reports_start)
      LearnRate(ran <= Slack(r) + usual ? kUp : -kDown);
  }

  // Where only probes bring reports: one a request, the price is the same at any size; some to other zones.
  void ProbeNext() {
    const Pool& pool = random_.Draw(4) == 0 ? fleet_.All(-1) : fleet_.InZone(-1, fleet_.home());
    if (!settings_.probes || settings_.reports != Settings::Reports::kProbesOnly || pool.empty())
      return;
    out_->push_back(Probe{fleet_.worker(pool[random_.Draw(pool.size())]).name});
  }

  void On(const ProbeDone& e) {
    const int index = fleet_.Find(e.worker);
    if (index == kNone || e.outcome != Outcome::kServed)
      return;
    Absorb(index, e.report);
    // It answers others' jobs: what waits there waits in a queue.
    if (e.report.served_per_s.value_or(0.0) > 0.0)
      fleet_.worker(index).answered_at = now_;
  }

  // ---- The worker list ----

  void AskForList() {
    if (subscribed_)
      return;
    out_->push_back(SubscribeList{});
    // A call that is never answered is made again well before the list counts as known without it.
    ask_wait_ = std::clamp<Micros>(2 * ask_wait_, settings_.must_ask_in / 32, settings_.must_ask_in / 4);
    SetTimerIn(ask_wait_ + static_cast<Micros>(random_.Uniform() * ask_wait_), kListTimer, 0);
  }

  void On(const WorkerList& list) {
    if (list.form == WorkerList::Form::kFailed) {
      Tell("worker list: call or subscription failed");
      // Spread: nodes lose their subscriptions together and must not all call at once.
      const double wait = random_.Uniform() * settings_.must_ask_in / 32;
      if (std::exchange(subscribed_, false))
        SetTimerIn(static_cast<Micros>(wait), kListTimer, 0);
      return;
    }
    if (list.form != WorkerList::Form::kCached) {
      subscribed_ = true;
      ask_wait_ = 0;
    }
    fleet_.Apply(list);
    cold_.clear();
    for (const int w : fleet_.All(-1)) {
      if (Cold(fleet_.worker(w)))
        cold_.push_back(w);
    }
  }

  const ClassSettings& Class(const Request& r) const { return settings_.classes[r.job_class]; }
  double MeanRunTime() const {
    return std::accumulate(run_time_.begin(), run_time_.end(), 0.0) / run_time_.size();
  }
  double Since(Micros then) const { return static_cast<double>(now_ - then); }
  void Tell(std::string text) {  // at most one line in ten seconds, so that a bad day does not flood the log
    if (now_ < tell_from_)
      return;
    tell_from_ = now_ + 10 * static_cast<Micros>(kSecond);
    out_->push_back(Log{std::move(text)});
  }
  void SetTimerIn(Micros delay, TimerKind kind, auto id) {
    const std::uint64_t token = (kind << kTimerShift) | static_cast<std::uint64_t>(id);
    out_->push_back(SetTimer{std::max<Micros>(delay, 1), token});
  }

  const Settings settings_;
  Random random_;
  std::vector<Action>* out_ = nullptr;
  Micros now_ = 0;
  // Throttle.
  std::vector<Tenant> tenants_;
  double quota_ = 0.0;     // this node's part, requests a second
  double rate_ = 1.0;      // R, slots a second
  double shallow_ = 0.0;   // share of 'full' among the recent signs of overload
  bool accepted_ = false;  // a worker has taken an attempt
  double strain_ = 0.0;    // recent share of attempts that met a sign of overload
  double mean_tokens_ = 1.0, mean_price_ = 1.0, mean_job_ = 1.0;  // of a job; the last in slot-microseconds
  double arriving_ = 0.0;                                         // tokens a second, as of arrived_at_
  Micros arrived_at_ = 0, counted_from_ = std::numeric_limits<Micros>::min() / 2;
  Micros next_token_ = std::numeric_limits<Micros>::max(), shortest_target_ = next_token_;
  Micros tell_from_ = 0;  // no log line before
  Micros wake_at_ = 0;
  RequestTable requests_;
  KeyCounts keys_;
  std::unordered_map<std::string, int> class_of_, tenant_of_;
  std::vector<double> run_time_, median_run_;  // by class; the first is the average
  Fleet fleet_;
  std::vector<int> cold_;  // those that were cold when the list last changed
  Micros drawn_at_ = 0;    // when a job was last drawn for one of them
  double fleet_errors_ = 0.0;

  bool begun_ = false, subscribed_ = false;
  Micros ask_wait_ = 0;
};

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}
bool Dispatcher::Avoids(const std::string& worker) const { return impl_->Avoids(worker); }

}  // namespace aldersill::dispatch

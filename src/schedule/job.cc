// An accepted job and the progress of its tasks.
#include "schedule/job.h"

#include "heathercross/error.h"
#include "schedule/long-value.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

namespace heathercross::schedule {

namespace {

constexpr char DoneMark = 'd';
constexpr char StepEnd = '.';
constexpr char AttemptEnd = ';';
constexpr char FirstFailures = '0';
/// 'A' stands for one failure without the number of its attempt.
constexpr char FirstCountedFailures = 'A' - 1;
/// Enclose the number of equal tasks or occurrences in a row that the text
/// after them stands for.
constexpr char TaskRepeat = '*';
constexpr char OccurrenceRepeat = '=';
/// Fewer equal tasks in a row are written out.
constexpr std::uint32_t MinRepeatedTasks = 4;

/// One letter per state, in the order of JobState.
constexpr std::string_view StateLetters = "qacfx";

/// Whether a progress text lists the numbers of failed attempts, or only counts
/// them.
enum class FailureDetail : std::uint8_t { Listed, Counted };

/// Appends 'd' for a task that is done, otherwise the number of failures and
/// the failed attempts, or a letter for the number of failures.
void appendTaskState(std::string &Text, const TaskState &T, FailureDetail D) {
  if (T.Phase_ == TaskPhase::Done) {
    Text += DoneMark;
    return;
  }
  const bool Listed = T.FailedAttempts_.size() == T.Failures_;
  if (T.Failures_ > 0 && (D == FailureDetail::Counted || !Listed)) {
    Text += static_cast<char>(FirstCountedFailures + T.Failures_);
    return;
  }
  Text += static_cast<char>(FirstFailures + T.Failures_);
  for (const Attempt A : T.FailedAttempts_)
    Text += std::to_string(A) + AttemptEnd;
}

std::string repeatMark(char Mark, std::uint32_t Count) {
  return Mark + std::to_string(Count) + Mark;
}

/// The progress of one occurrence, with equal tasks in a row written once.
std::string encodeOccurrence(const Occurrence &O, FailureDetail D) {
  std::string Text;
  for (const StepState &S : O.Steps_) {
    std::string Last;
    std::uint32_t Count = 0;
    const auto AppendLast = [&] {
      if (Count >= MinRepeatedTasks)
        Text += repeatMark(TaskRepeat, std::exchange(Count, 1));
      for (; Count > 0; --Count)
        Text += Last;
    };
    for (std::uint32_t I = 0; I < S.count(); ++I) {
      std::string Task;
      appendTaskState(Task, S.task(I), D);
      if (Task != Last) {
        AppendLast();
        Last = std::move(Task);
      }
      ++Count;
    }
    AppendLast();
    Text += StepEnd;
  }
  return Text;
}

/// The progress text of a job.
std::string progressText(JobState State, const Occurrences &All,
                         FailureDetail D) {
  std::string Text(1, StateLetters[static_cast<std::size_t>(State)]);
  std::string Last;
  std::uint32_t Count = 0;
  const auto AppendLast = [&] {
    if (Count > 1)
      Text += repeatMark(OccurrenceRepeat, Count);
    Text += Last;
  };
  All.forEachRange([&](const Occurrence &O, std::uint32_t Repeats) {
    std::string Encoded = encodeOccurrence(O, D);
    if (Encoded != Last) {
      AppendLast();
      Last = std::move(Encoded);
      Count = 0;
    }
    Count += Repeats;
  });
  AppendLast();
  return Text;
}

/// Reads a progress text from left to right.
class ProgressReader {
public:
  ProgressReader(std::string_view Text, const JobId &Id)
      : Text_(Text), Context_("progress of job " + Id.str()) {}

  char next() {
    if (Position_ >= Text_.size())
      fail("too short");
    return Text_[Position_++];
  }

  Attempt readAttempt() { return readNumber(AttemptEnd, "no valid attempt"); }

  /// How many items in a row the next text stands for, at most Max; 1 if there
  /// is no mark.
  std::uint32_t readRepeat(char Mark, std::size_t Max) {
    if (Position_ >= Text_.size() || Text_[Position_] != Mark)
      return 1;
    ++Position_;
    const std::uint32_t Count = readNumber(Mark, "no valid repeat count");
    if (Count == 0 || Count > Max)
      fail("repeat count out of range");
    return Count;
  }

  [[noreturn]] void fail(const char *Problem) const {
    raise(FormatError(Context_, Problem));
  }

private:
  std::uint32_t readNumber(char EndMark, const char *Problem) {
    const std::size_t End = Text_.find(EndMark, Position_);
    std::uint32_t Number = 0;
    const char *Last = Text_.data() + std::min(End, Text_.size());
    const auto Read = std::from_chars(Text_.data() + Position_, Last, Number);
    if (End == std::string_view::npos || Read.ec != std::errc() ||
        Read.ptr != Last)
      fail(Problem);
    Position_ = End + 1;
    return Number;
  }

  std::string_view Text_;
  std::string Context_;
  std::size_t Position_ = 0;
};

TaskState decodeTask(ProgressReader &Reader) {
  TaskState T;
  const char Mark = Reader.next();
  if (Mark == DoneMark) {
    T.Phase_ = TaskPhase::Done;
    return T;
  }
  const bool Listed = Mark < FirstCountedFailures;
  T.Failures_ = static_cast<std::uint32_t>(
      Mark - (Listed ? FirstFailures : FirstCountedFailures));
  if (T.Failures_ > MaxRecordedFailures)
    Reader.fail("unknown task state");
  if (!Listed)
    return T;
  for (std::uint32_t I = 0; I < T.Failures_; ++I)
    T.FailedAttempts_.push_back(Reader.readAttempt());
  return T;
}

StepState decodeStep(ProgressReader &Reader, std::uint32_t Count) {
  StepState S(Count);
  for (std::uint32_t Index = 0; Index < Count;) {
    const std::uint32_t Repeats = Reader.readRepeat(TaskRepeat, Count - Index);
    const TaskState T = decodeTask(Reader);
    for (const std::uint32_t End = Index + Repeats; Index < End; ++Index)
      if (T.Phase_ == TaskPhase::Done)
        S.finish(Index);
      else if (T.Failures_ > 0)
        *S.openTask(Index) = T;
  }
  if (Reader.next() != StepEnd)
    Reader.fail("step does not end in '.'");
  return S;
}

} // namespace

Attempt attemptFloor(Epoch Holder, Epoch Accepted) {
  constexpr std::uint64_t LastRange =
      std::numeric_limits<Attempt>::max() / AttemptsPerEpoch;
  const std::uint64_t Epochs =
      Holder.value() - std::min(Holder.value(), Accepted.value());
  return static_cast<Attempt>(std::min(Epochs, LastRange)) * AttemptsPerEpoch;
}

std::uint64_t JobSpec::taskCount() const {
  std::uint64_t Tasks = 0;
  for (const StepSpec &S : Steps_)
    Tasks += S.Count_;
  return Tasks * occurrences();
}

bool JobSpec::longRunning() const {
  return std::ranges::any_of(Steps_, &StepSpec::LongRunning_);
}

Job::Job(JobId Id, QueueId Queue, JobSpec Spec, Instant Accepted,
         AccountId Account)
    : Id_(std::move(Id)), Queue_(std::move(Queue)),
      Account_(std::move(Account)), Spec_(std::move(Spec)), Accepted_(Accepted),
      Occurrences_(Spec_.Steps_, Spec_.occurrences()),
      Waiting_(static_cast<std::uint32_t>(Spec_.taskCount())) {
  updateRemaining();
  Work_ = RemainingWork_;
  CriticalPath_ = RemainingCriticalPath_;
}

bool Job::has(const TaskKey &Key) const {
  return Key.Occurrence_ < Occurrences_.count() &&
         Key.Step_ < Spec_.Steps_.size() &&
         Key.Index_ < Spec_.Steps_[Key.Step_].Count_;
}

const TaskState &Job::task(const TaskKey &Key) const {
  return step(Key.Occurrence_, Key.Step_).task(Key.Index_);
}

TaskState *Job::openTask(const TaskKey &Key) {
  Occurrence *O = Occurrences_.open(Key.Occurrence_);
  return O ? O->Steps_[Key.Step_].openTask(Key.Index_) : nullptr;
}

void Job::setPhase(const TaskKey &Key, TaskPhase Phase) {
  Occurrence *O = Occurrences_.open(Key.Occurrence_);
  if (!O)
    return;
  StepState &S = O->Steps_[Key.Step_];
  Waiting_ -= S.waitingCount();
  S.setPhase(Key.Index_, Phase);
  Waiting_ += S.waitingCount();
}

WallTime Job::due(std::uint32_t OccurrenceIndex) const {
  return Spec_.FirstDue_ + Spec_.Interval_ * OccurrenceIndex;
}

bool Job::isDue(std::uint32_t OccurrenceIndex, WallTime Now) const {
  return Spec_.Repeats_ == 0 || Now >= due(OccurrenceIndex);
}

bool Job::ready(std::uint32_t OccurrenceIndex, std::uint32_t Step,
                WallTime Now) const {
  if (!isDue(OccurrenceIndex, Now))
    return false;
  const Occurrence &O = Occurrences_[OccurrenceIndex];
  return std::ranges::all_of(
      Spec_.Steps_[Step].DependsOn_,
      [&](std::uint32_t Earlier) { return O.Steps_[Earlier].done(); });
}

void Job::finishTask(const TaskKey &Key) {
  if (task(Key).Phase_ == TaskPhase::Done)
    return;
  StepState &S = Occurrences_.open(Key.Occurrence_)->Steps_[Key.Step_];
  Waiting_ -= S.waitingCount();
  S.finish(Key.Index_);
  Waiting_ += S.waitingCount();
  Occurrences_.closeIfDone(Key.Occurrence_);
  updateRemaining();
  if (allDone() && !isFinal(State_))
    State_ = JobState::Complete;
}

bool Job::allDone() const { return Occurrences_.done(); }

void Job::updateRemaining() {
  constexpr double MilliPerUnit = 1000.0;
  // Counted in whole tasks, so that the sum doesn't depend on the order.
  std::vector<std::uint64_t> Remaining(Spec_.Steps_.size());
  RemainingCriticalPath_ = Millis(0);
  Occurrences_.forEachRange([&](const Occurrence &O, std::uint32_t Repeats) {
    for (std::size_t I = 0; I < Remaining.size(); ++I)
      Remaining[I] += std::uint64_t{Repeats} *
                      (O.Steps_[I].count() - O.Steps_[I].doneCount());
    RemainingCriticalPath_ =
        std::max(RemainingCriticalPath_, criticalPathOf(O));
  });
  RemainingWork_ = 0;
  for (std::size_t I = 0; I < Remaining.size(); ++I) {
    const StepSpec &S = Spec_.Steps_[I];
    RemainingWork_ += static_cast<double>(Remaining[I]) *
                      (static_cast<double>(S.Needs_.CpuMilli_) / MilliPerUnit) *
                      (static_cast<double>(S.Estimate_.count()) / MilliPerUnit);
  }
}

Millis Job::criticalPathOf(const Occurrence &O) const {
  std::vector<Millis> Finish(Spec_.Steps_.size(), Millis(0));
  for (std::size_t I = 0; I < Finish.size(); ++I) {
    const StepSpec &S = Spec_.Steps_[I];
    Millis Start(0);
    for (const std::uint32_t Earlier : S.DependsOn_)
      Start = std::max(Start, Finish[Earlier]);
    Finish[I] = Start + (O.Steps_[I].done() ? Millis(0) : S.Estimate_);
  }
  return Finish.empty() ? Millis(0) : std::ranges::max(Finish);
}

std::string Job::encodeProgress() const {
  const std::string Text =
      progressText(State_, Occurrences_, FailureDetail::Listed);
  // Without the attempts, a failure that a worker lists again after its
  // acknowledgement was lost counts twice.
  return Text.size() <= MaxValueBytes
             ? Text
             : progressText(State_, Occurrences_, FailureDetail::Counted);
}

void Job::decodeProgress(std::string_view Text) {
  ProgressReader Reader(Text, Id_);
  const std::size_t State = StateLetters.find(Reader.next());
  if (State == std::string_view::npos)
    Reader.fail("unknown state");
  // Only occurrences that haven't begun can be set.
  Occurrences_ = Occurrences(Spec_.Steps_, Spec_.occurrences());
  Waiting_ = 0;
  for (std::uint32_t Index = 0; Index < Occurrences_.count();) {
    const std::uint32_t Repeats =
        Reader.readRepeat(OccurrenceRepeat, Occurrences_.count() - Index);
    Occurrence O;
    std::ranges::transform(
        Spec_.Steps_, std::back_inserter(O.Steps_),
        [&](const StepSpec &S) { return decodeStep(Reader, S.Count_); });
    Waiting_ += O.waitingCount() * Repeats;
    Occurrences_.set(Index, Repeats, O);
    Index += Repeats;
  }
  State_ = static_cast<JobState>(State);
  updateRemaining();
}

const char *stateName(JobState S) {
  switch (S) {
  case JobState::Queued:
    return "queued";
  case JobState::Active:
    return "active";
  case JobState::Complete:
    return "complete";
  case JobState::Failed:
    return "failed";
  case JobState::Canceled:
    return "canceled";
  }
  return "unknown";
}

} // namespace heathercross::schedule

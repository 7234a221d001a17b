// Learns which images slow each other down when their tasks share a worker.
#include "schedule/interference.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <ranges>
#include <utility>

namespace heathercross::schedule {

namespace {

/// The weight of a figure falls to 1/e in this time. Interference changes
/// within seconds.
constexpr Millis FigureLifetime{10'000};
/// The least weight of figures on each side, with and without the neighbour,
/// that makes a pair known.
constexpr double MinWeight = 12;
/// A known pair ceases to be known when less weight of its figures is left.
constexpr double ForgetWeight = 3;
/// The least weight of figures beside a neighbour that makes a pair known again
/// after that.
constexpr double RelearnWeight = 6;
/// The effect of a neighbour that worked less than this on average isn't
/// extrapolated further.
constexpr double MinMeanActivity = 0.25;
/// Figures beside a neighbour weigh at most this, so that what is known of a
/// pair that no longer shares workers fades in 26 s.
constexpr double MaxWeight = 40;
/// The least difference that makes a pair known, as a share of the goal.
constexpr double MinDifference = 0.25;
/// The difference must exceed the scatter of the figures by this factor. The
/// standard error of the difference is a fifth of that bound at MinWeight.
constexpr double ScatterFactor = 1.5;
/// A known pair ceases to interfere below this part of both bounds.
constexpr double CeaseFactor = 0.5;
/// Figures above this share of the goal are cut to it, so that a single stall
/// of a worker doesn't hide or feign an effect for long.
constexpr double MaxTailShare = 4;
constexpr Millis ExpiryInterval{1000};
/// Figures of one worker are taken in no more often than that.
constexpr Millis ObservationInterval{250};
/// Activity of one worker is recorded no more often than that.
constexpr Millis RecordInterval{50};
/// Activity between two records that are further apart than this isn't known.
constexpr Millis MaxRecordGap{1000};
constexpr double PercentPerUnit = 100;

double seconds(Micros D) { return std::chrono::duration<double>(D).count(); }

} // namespace

void FadingSums::fade(Instant Now) {
  if (Now <= At_)
    return;
  const double Left = std::exp(-seconds(Now - At_) / seconds(FigureLifetime));
  Weight_ *= Left;
  Sum_ *= Left;
  SumOfSquares_ *= Left;
  At_ = Now;
}

void FadingSums::add(double Figure, double Weight, Instant Now) {
  fade(Now);
  Weight_ += Weight;
  Sum_ += Weight * Figure;
  SumOfSquares_ += Weight * Figure * Figure;
}

void FadingSums::limitWeight(double Limit) {
  if (Weight_ <= Limit)
    return;
  const double Factor = Limit / Weight_;
  Weight_ *= Factor;
  Sum_ *= Factor;
  SumOfSquares_ *= Factor;
}

FadingSums FadingSums::without(const FadingSums &Part, Instant Now) const {
  FadingSums Rest = *this;
  FadingSums Less = Part;
  Rest.fade(Now);
  Less.fade(Now);
  Rest.Weight_ = std::max(0.0, Rest.Weight_ - Less.Weight_);
  Rest.Sum_ -= Less.Sum_;
  Rest.SumOfSquares_ -= Less.SumOfSquares_;
  return Rest;
}

double FadingSums::weight(Instant Now) const {
  FadingSums Faded = *this;
  Faded.fade(Now);
  return Faded.Weight_;
}

double FadingSums::mean() const { return Weight_ > 0 ? Sum_ / Weight_ : 0; }

double FadingSums::variance() const {
  if (Weight_ <= 0)
    return 0;
  const double Mean = mean();
  return std::max(0.0, SumOfSquares_ / Weight_ - Mean * Mean);
}

double Interference::knownEffect(const ImageName &Observed,
                                 const ImageName &Neighbour,
                                 double Activity) const {
  if (Known_.empty())
    return 0;
  const auto It = Known_.find({Observed, Neighbour});
  return It == Known_.end()
             ? 0
             : It->second.difference() * std::clamp(Activity, 0.0, 1.0);
}

void Interference::observe(const ImageName &Observed, double TailShare,
                           const ImageActivity &Others, Instant Now) {
  if (!Images_.contains(Observed) && Images_.size() >= MaxImages)
    dropOldestImage();
  ImageFigures &Figures = Images_[Observed];
  Figures.SeenAt_ = Now;
  double Rest = std::min(TailShare, MaxTailShare);
  for (const auto &[Neighbour, Activity] : Others)
    Rest -= knownEffect(Observed, Neighbour, Activity);
  Figures.All_.add(Rest, 1, Now);
  for (const auto &[Neighbour, Activity] : Others)
    if (Activity > 0)
      addFigure(Observed, Figures, Neighbour, Activity, Rest, Now);
  for (const auto &[Neighbour, Activity] : Others)
    if (Activity > 0 && disturbs(Neighbour, Observed))
      updateKnown({Observed, Neighbour}, Now);
  findNew(Observed, Figures, Others, Now);
}

void Interference::addFigure(const ImageName &Observed, ImageFigures &Figures,
                             const ImageName &Neighbour, double Activity,
                             double Rest, Instant Now) {
  if (!Figures.Neighbours_.contains(Neighbour) &&
      Figures.Neighbours_.size() >= MaxNeighbours)
    dropOldestNeighbour(Observed, Figures);
  PairFigures &Pair = Figures.Neighbours_[Neighbour];
  const double Weight = std::min(1.0, Activity);
  Pair.SeenAt_ = Now;
  Pair.With_.add(Rest + knownEffect(Observed, Neighbour, Activity), Weight,
                 Now);
  Pair.With_.limitWeight(MaxWeight);
  Pair.Activity_.add(Weight, Weight, Now);
  Pair.Active_.add(Rest, 1, Now);
}

Interference::Assessment Interference::assess(const ImageFigures &Figures,
                                              const PairFigures &Pair,
                                              bool Known, Instant Now) {
  const double Least = Known ? ForgetWeight : MinWeight;
  const double LeastWith = Pair.Faded_ && !Known ? RelearnWeight : Least;
  const FadingSums Without = Figures.All_.without(Pair.Active_, Now);
  if (Pair.With_.weight(Now) < LeastWith || Without.weight(Now) < Least)
    return {};
  const double Difference = Pair.With_.mean() - Without.mean();
  const double Scatter = std::sqrt(Pair.With_.variance() + Without.variance());
  const double Bound = std::max(MinDifference, ScatterFactor * Scatter) *
                       (Known ? CeaseFactor : 1);
  // The latency rises with the neighbour's activity.
  const double FullDifference =
      Difference / std::max(MinMeanActivity, Pair.Activity_.mean());
  return {Difference > Bound ? Verdict::Interferes : Verdict::NoEffect,
          {Without.mean() + FullDifference, Without.mean()}};
}

void Interference::updateKnown(const ImagePair &Key, Instant Now) {
  const auto Known = Known_.find(Key);
  ImageFigures &Figures = Images_.at(Key.Observed_);
  PairFigures &Pair = Figures.Neighbours_.at(Key.Neighbour_);
  if (Pair.With_.weight(Now) < ForgetWeight) {
    Pair.Faded_ = true;
    setUnknown(Key, InterferenceEffect(Known->second));
    return;
  }
  const Assessment A = assess(Figures, Pair, true, Now);
  if (A.Verdict_ == Verdict::Interferes)
    setKnown(Key, A.Effect_);
  if (A.Verdict_ == Verdict::NoEffect)
    setUnknown(Key, A.Effect_);
}

void Interference::findNew(const ImageName &Observed, ImageFigures &Figures,
                           const ImageActivity &Others, Instant Now) {
  ImageName Most;
  InterferenceEffect Effect;
  for (const auto &[Neighbour, Activity] : Others) {
    const auto It = Figures.Neighbours_.find(Neighbour);
    if (Activity <= 0 || It == Figures.Neighbours_.end() ||
        disturbs(Neighbour, Observed))
      continue;
    const Assessment A = assess(Figures, It->second, false, Now);
    if (A.Verdict_ == Verdict::NoEffect &&
        It->second.With_.weight(Now) >= MinWeight)
      It->second.Faded_ = false;
    if (A.Verdict_ != Verdict::Interferes ||
        A.Effect_.difference() <= Effect.difference())
      continue;
    Most = Neighbour;
    Effect = A.Effect_;
  }
  if (Most.empty())
    return;
  setKnown({Observed, Most}, Effect);
  // Earlier figures contain the effect of this image.
  Figures.All_ = {};
  std::erase_if(Figures.Neighbours_, [&](const auto &Entry) {
    return Entry.first != Most && !disturbs(Entry.first, Observed);
  });
  for (auto &[Neighbour, Pair] : Figures.Neighbours_)
    Pair.Active_ = {};
}

void Interference::setKnown(const ImagePair &Pair,
                            const InterferenceEffect &Effect) {
  if (Known_.insert_or_assign(Pair, Effect).second)
    Changes_.push_back({Pair, true, Effect});
  updateCosts(Pair);
}

void Interference::setUnknown(const ImagePair &Pair,
                              const InterferenceEffect &Effect) {
  if (Known_.erase(Pair) == 0)
    return;
  Changes_.push_back({Pair, false, Effect});
  updateCosts(Pair);
}

void Interference::updateCosts(const ImagePair &Pair) {
  InterferenceCost Cost;
  const auto AddEffect = [&](const ImagePair &P) {
    const auto It = Known_.find(P);
    if (It == Known_.end())
      return;
    Cost.Percent_ += static_cast<std::uint32_t>(
        std::lround(std::max(0.01, It->second.difference()) * PercentPerUnit));
    Cost.Stalls_ = Cost.Stalls_ || It->second.TailWith_ > 1;
  };
  AddEffect(Pair);
  if (Pair.Observed_ != Pair.Neighbour_)
    AddEffect({Pair.Neighbour_, Pair.Observed_});
  const auto Set = [&](const ImageName &Image, const ImageName &Partner) {
    if (Cost.Percent_ > 0) {
      Costs_[Image][Partner] = Cost;
      return;
    }
    const auto It = Costs_.find(Image);
    if (It == Costs_.end())
      return;
    It->second.erase(Partner);
    if (It->second.empty())
      Costs_.erase(It);
  };
  Set(Pair.Observed_, Pair.Neighbour_);
  Set(Pair.Neighbour_, Pair.Observed_);
}

void Interference::expire(Instant Now) {
  if (Now - ExpiredAt_ < ExpiryInterval)
    return;
  ExpiredAt_ = Now;
  const std::map<ImagePair, InterferenceEffect> Before = Known_;
  for (const auto &[Pair, Effect] : Before)
    updateKnown(Pair, Now);
}

InterferenceCost
Interference::cost(const ImageName &Image,
                   const std::map<ImageName, std::uint32_t> &Runs) const {
  InterferenceCost Sum;
  const auto Partners = Costs_.find(Image);
  if (Partners == Costs_.end())
    return Sum;
  for (const auto &[Other, Count] : Runs) {
    const auto It = Partners->second.find(Other);
    if (It == Partners->second.end())
      continue;
    Sum.Percent_ += It->second.Percent_;
    Sum.Stalls_ = Sum.Stalls_ || It->second.Stalls_;
  }
  return Sum;
}

std::vector<InterferenceChange> Interference::takeChanges() {
  return std::exchange(Changes_, {});
}

std::size_t Interference::pairs() const {
  std::size_t Count = 0;
  for (const auto &[Image, Figures] : Images_)
    Count += Figures.Neighbours_.size();
  return Count;
}

void Interference::dropOldestImage() {
  const auto Oldest = std::ranges::min_element(
      Images_, {}, [](const auto &Entry) { return Entry.second.SeenAt_; });
  for (const auto &[Neighbour, Figures] : Oldest->second.Neighbours_)
    if (const auto It = Known_.find({Oldest->first, Neighbour});
        It != Known_.end())
      setUnknown(ImagePair(It->first), InterferenceEffect(It->second));
  Images_.erase(Oldest);
}

void Interference::dropOldestNeighbour(const ImageName &Observed,
                                       ImageFigures &Figures) {
  const auto Oldest =
      std::ranges::min_element(Figures.Neighbours_, {}, [](const auto &Entry) {
        return Entry.second.SeenAt_;
      });
  if (const auto It = Known_.find({Observed, Oldest->first});
      It != Known_.end())
    setUnknown(ImagePair(It->first), InterferenceEffect(It->second));
  Figures.Neighbours_.erase(Oldest);
}

void ActivityHistory::record(ImageActivity Activity, Instant At) {
  if (!Records_.empty() && At - Records_.back().At_ > MaxRecordGap)
    Records_.clear();
  Records_.push_back({At, std::move(Activity)});
  // The first record may lie before the window, to cover its beginning.
  while (Records_.size() > 2 && Records_[1].At_ <= At - Window)
    Records_.pop_front();
}

bool ActivityHistory::recordDue(Instant Now) const {
  return Records_.empty() || Now - Records_.back().At_ >= RecordInterval;
}

bool ActivityHistory::observationDue(Instant Now) const {
  return !Records_.empty() && Records_.front().At_ <= Now - Window &&
         Now - ObservedAt_ >= ObservationInterval;
}

ImageActivity ActivityHistory::mean(Instant Now) const {
  ImageActivity Mean;
  const Instant Begin = Now - Window;
  for (std::size_t I = 1; I < Records_.size(); ++I) {
    const Record &First = Records_[I - 1];
    const Record &Last = Records_[I];
    const double Part =
        seconds(Last.At_ - std::max(First.At_, Begin)) / seconds(Window);
    if (Part <= 0)
      continue;
    for (const Record *R : {&First, &Last})
      for (const auto &[Image, Activity] : R->Activity_)
        Mean[Image] += Activity * Part / 2;
  }
  return Mean;
}

} // namespace heathercross::schedule

// Records the head that each entry instance shows.
#pragma once

#include "options.h"
#include "standin/common/history.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QObject>
#include <QTimer>

#include <vector>

namespace heathercross::standin {

/// Polls every target's view and records each head that it shows.
class ViewPoller : public QObject {
public:
  ViewPoller(const LoadOptions &Options, HistoryFile &History)
      : Options_(Options), History_(History),
        PollPending_(Options.Targets_.size(), false) {
    connect(&Timer_, &QTimer::timeout, this, [this] {
      for (std::size_t I = 0; I < Options_.Targets_.size(); ++I)
        poll(I);
    });
  }

  void start() { Timer_.start(PollMs); }

private:
  static constexpr int PollMs = 100;
  static constexpr int TimeoutMs = 500;

  void poll(std::size_t Index) {
    if (PollPending_[Index])
      return;
    PollPending_[Index] = true;
    const HttpHeaders Headers{
        {"Authorization",
         "Bearer " + QByteArray::fromStdString(Options_.Token_)}};
    call(Options_.Targets_[Index], "GET", "/v1/view", {}, Headers, TimeoutMs,
         [this, Index](const HttpResponse &Response) {
           PollPending_[Index] = false;
           if (Response.Status_ == 200)
             record(Index, Response);
         });
  }

  void record(std::size_t Index, const HttpResponse &Response) {
    const QJsonObject View = QJsonDocument::fromJson(Response.Body_).object();
    const int Port = Options_.Targets_[Index].Port_;
    HistoryLine Line(Options_.Name_, "head", std::to_string(Port));
    Line.number("head", View["head"].toInteger());
    History_.write(Line);
  }

  const LoadOptions &Options_;
  HistoryFile &History_;
  std::vector<bool> PollPending_;
  QTimer Timer_;
};

} // namespace heathercross::standin

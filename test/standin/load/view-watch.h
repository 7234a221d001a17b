// Records which head each entry instance has in force.
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
class ViewWatch : public QObject {
public:
  ViewWatch(const LoadOptions &Options, HistoryFile &History)
      : Options_(Options), History_(History),
        Asking_(Options.Targets_.size(), false) {
    connect(&Timer_, &QTimer::timeout, this, [this] {
      for (std::size_t I = 0; I < Options_.Targets_.size(); ++I)
        ask(I);
    });
  }

  void start() { Timer_.start(PollMs); }

private:
  static constexpr int PollMs = 100;
  static constexpr int TimeoutMs = 500;

  void ask(std::size_t Index) {
    if (Asking_[Index])
      return;
    Asking_[Index] = true;
    const HttpHeaders Headers{
        {"Authorization",
         "Bearer " + QByteArray::fromStdString(Options_.Token_)}};
    call(Options_.Targets_[Index], "GET", "/v1/view", {}, Headers, TimeoutMs,
         [this, Index](const HttpResponse &Response) {
           Asking_[Index] = false;
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
  std::vector<bool> Asking_;
  QTimer Timer_;
};

} // namespace heathercross::standin

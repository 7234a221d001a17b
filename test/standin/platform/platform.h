// Serves the interface of the platform: table, objects, instance list, faults.
#pragma once

#include "faults.h"
#include "instance-list.h"
#include "rate-meter.h"
#include "rows.h"
#include "standin/common/history.h"
#include "standin/common/http-server.h"

#include <QObject>

#include <map>

namespace heathercross::standin {

/// The configuration of a platform stand-in.
struct PlatformOptions {
  quint16 Port_ = 0;
  int LagMs_ = 0;
  unsigned Seed_ = 1;
  std::string History_;
};

/// Serves the platform's interface on one port.
class Platform : public QObject {
public:
  explicit Platform(const PlatformOptions &Options);

  /// Returns false if it can't listen on the port or open the history file.
  bool start();
  quint16 port() const { return Server_.port(); }

private:
  void handle(const HttpRequest &Request, const Responder &Respond);
  HttpResponse serve(const HttpRequest &Request);
  HttpResponse transact(const HttpRequest &Request);
  HttpResponse read(const HttpRequest &Request);
  HttpResponse changes(const HttpRequest &Request);
  HttpResponse rowsResponse(const QJsonArray &Found, bool More,
                            int Status = 200) const;
  HttpResponse object(const HttpRequest &Request);
  HttpResponse changeInstance(const HttpRequest &Request);
  HttpResponse setFault(const HttpRequest &Request);
  HttpResponse stats() const;
  void record(const HttpRequest &Request,
              const platform_api::StoreTransaction &T);
  /// Writes the row by which a worker registers itself, or removes it.
  void registerWorker(const QJsonObject &Instance);

  PlatformOptions Options_;
  HistoryFile History_;
  Rows Rows_;
  Faults Faults_;
  InstanceList Instances_;
  std::map<QByteArray, QByteArray> Objects_;
  RateMeter Reads_;
  RateMeter Writes_;
  /// Bytes of paths and bodies received and sent, without headers.
  std::int64_t BytesIn_ = 0;
  std::int64_t BytesOut_ = 0;
  HttpServer Server_;
};

} // namespace heathercross::standin

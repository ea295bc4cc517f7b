/// Routes of the HTTP API, in groups; see docs/http_api.md.
#pragma once

#include <atomic>

#include "../event_thread.h"
#include "config_service.h"
#include "http_server.h"
#include "job_service.h"
#include "member_service.h"
#include "owner_service.h"
#include "request_service.h"
#include "watch_service.h"

namespace ebonypin::daemon {

/// What the routes work with. All parts outlive the server's calls.
struct EntryParts {
  const std::string& m_region;
  const std::string& m_domain;
  EventThread& m_events;
  HttpServer& m_http;
  LogStream& m_region_log;
  LogStream& m_config_log;
  ConfigService& m_config;
  JobService& m_jobs;
  WatchService& m_watches;
  RequestService& m_requests;
  MemberService& m_members;
  const OwnerService& m_owner;
  const std::atomic<bool>& m_leaving;   ///< Told to the load balancer.
  const std::atomic<bool>& m_draining;  ///< New work is refused.
};

/// POST /v1/requests and everything under /v1/jobs.
void AddWorkRoutes(const EntryParts& parts);

/// Everything under /v1/watches.
void AddWatchRoutes(const EntryParts& parts);

/// Everything under /v1/classes, and PUT /v1/instances/{id}/drain.
void AddConfigRoutes(const EntryParts& parts);

/// GET /v1/status, /v1/instances and /v1/audit.
void AddOperationRoutes(const EntryParts& parts);

}  // namespace ebonypin::daemon

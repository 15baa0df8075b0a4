//! Enumerations of metric label values.

macro_rules! labels {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $label:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// Returns the label value used in metrics.
            pub fn label(self) -> &'static str {
                match self { $(Self::$variant => $label,)* }
            }
        }
    };
}

labels! {
    /// Reason for retrying or resuming a request at an upstream.
    RetryReason {
        /// No connection could be established.
        Connect = "connect",
        /// The upstream refused the request and stated that it did not run it.
        Refused = "refused",
        /// The upstream responded with an error status.
        Status = "status",
        /// The head of the response did not arrive within the timeout.
        Timeout = "timeout",
        /// The connection failed when the request may already have been sent.
        Broken = "broken",
        /// The stream broke off and is resumed.
        StreamBroken = "stream_broken",
        /// The stream exceeded the idle timeout and is resumed.
        StreamIdle = "stream_idle",
        /// The upstream has another weight version loaded.
        WeightVersion = "weight_version",
        /// The response belongs to another request.
        AnswerMismatch = "answer_mismatch",
    }
}

labels! {
    /// Operation of the platform's store.
    StoreCall {
        /// Read of an object.
        Get = "get",
        /// Conditional write.
        Put = "put",
        /// Conditional deletion.
        Delete = "delete",
        /// List of all objects of a kind.
        List = "list",
        /// Wait for changes to objects.
        Watch = "watch",
        /// List of all VMs.
        Vms = "vms",
    }
}

labels! {
    /// Outcome of a call to the platform's store.
    StoreOutcome {
        /// The call succeeded.
        Ok = "ok",
        /// The object does not exist.
        Missing = "missing",
        /// The object has another version than the caller expected.
        Conflict = "conflict",
        /// No connection could be established.
        Connect = "connect",
        /// The connection failed during the call.
        Broken = "broken",
        /// No response arrived within the timeout.
        Timeout = "timeout",
        /// The response has an unexpected status.
        Status = "status",
        /// The response is malformed.
        AnswerInvalid = "answer_invalid",
        /// The value exceeds the store's limit.
        ValueTooLarge = "value_too_large",
        /// The object's name is not valid in a URL path.
        NameInvalid = "name_invalid",
    }
}

labels! {
    /// Reason for dropping a message from a peer.
    PeerDropReason {
        /// The message could not be decoded.
        Malformed = "malformed",
        /// The message exceeds the size limit.
        Oversized = "oversized",
        /// The sender is outside the fleet or uses another protocol version.
        Foreign = "foreign",
        /// The peer exceeds its rate limit.
        RateExceeded = "rate_exceeded",
        /// The message is from an earlier incarnation or repeats an earlier message.
        Stale = "stale",
        /// The queue for incoming messages is full.
        QueueFull = "queue_full",
    }
}

labels! {
    /// State change that is counted without further labels.
    Event {
        /// A configuration was applied.
        ConfigurationApplied = "configuration_applied",
        /// A configuration was rejected because it has faults.
        ConfigurationRefused = "configuration_refused",
        /// A configuration was ignored because it is not newer than the applied one.
        ConfigurationStale = "configuration_stale",
        /// A running stream was ended because its key was withdrawn.
        KeyWithdrawn = "key_withdrawn",
        /// The VM cannot confirm that keys are still valid.
        Isolated = "isolated",
        /// The VM can confirm again that keys are still valid.
        IsolationEnded = "isolation_ended",
        /// The VM's lease is confirmed: it may use its shares of the rate limits.
        MembershipAcquired = "membership_acquired",
        /// The VM's lease expired: it may no longer use its shares of the rate limits.
        MembershipLapsed = "membership_lapsed",
        /// The VM detected that its record was fenced.
        MembershipFenced = "membership_fenced",
        /// An upstream was marked unhealthy.
        UpstreamDown = "upstream_down",
        /// An upstream was marked healthy again.
        UpstreamUp = "upstream_up",
        /// A caller disconnected before its response was complete.
        CallerLeft = "caller_left",
        /// A link to a peer was established.
        PeerUp = "peer_up",
        /// A link to a peer was closed.
        PeerDown = "peer_down",
        /// A share of a rate limit was handed over to a peer.
        ShareGiven = "share_given",
        /// A share of a rate limit was received from a peer.
        ShareReceived = "share_received",
        /// A share of a dead VM was reclaimed.
        ShareReclaimed = "share_reclaimed",
        /// The steward lease was acquired.
        LeaseAcquired = "lease_acquired",
        /// The steward lease was lost.
        LeaseLost = "lease_lost",
        /// The steward lease was released.
        LeaseReleased = "lease_released",
        /// The graceful shutdown started.
        DrainStarted = "drain_started",
    }
}

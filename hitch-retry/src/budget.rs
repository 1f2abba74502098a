//! The retry budget, in thousandths of a call.
//!
//! The entry node of a call, through which it enters the mesh, earns credit in a [`Bucket`]: by
//! default a tenth of a call for each call. It spends the credit on its own retries, or passes some
//! of it downstream with a call as a [`Budget`]. Nodes downstream never add to a budget, and a budget
//! is moved and never copied, so the bucket of the entry node pays for all retries on a call path,
//! however deep the path is.

/// Cost of one retry or hedge, in thousandths of a call.
pub const RETRY_COST_MILLI: u32 = 1_000;

/// Maximum budget that a call may carry, in thousandths of a call: one retry over its full depth.
pub const MAX_CARRIED_MILLI: u32 = RETRY_COST_MILLI;

/// Settings of a [`Bucket`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Credit earned by each call, in thousandths of a call.
    pub earned_milli: u32,
    /// Maximum credit that the bucket holds, in thousandths of a call.
    pub capacity_milli: u32,
    /// Credit reserved for the node's own retries and never passed downstream, in thousandths of a
    /// call.
    pub reserve_milli: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            earned_milli: 100,
            capacity_milli: 100_000,
            reserve_milli: 50_000,
        }
    }
}

/// Token bucket with the retry credit of one node, earned by the calls that enter the mesh through it.
///
/// The bucket starts empty, so that with the default settings the number of retries never exceeds a
/// tenth of the number of calls so far.
///
/// ```
/// use hitch_retry::Bucket;
/// use hitch_retry::budget::Options;
///
/// let mut bucket = Bucket::new(Options::default());
/// for _ in 0..10 {
///     bucket.earn();
/// }
/// assert!(bucket.try_spend());
/// assert!(!bucket.try_spend());
/// ```
#[derive(Debug, Clone)]
pub struct Bucket {
    options: Options,
    credit_milli: u32,
}

impl Bucket {
    /// Creates an empty bucket.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// assert_eq!(Bucket::new(Default::default()).milli(), 0);
    /// ```
    pub fn new(options: Options) -> Bucket {
        Bucket {
            options,
            credit_milli: 0,
        }
    }

    /// Replaces the options. The credit is kept, up to the new capacity.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// let mut bucket = Bucket::new(Default::default());
    /// bucket.earn();
    /// bucket.set_options(Default::default());
    /// assert_eq!(bucket.milli(), 100);
    /// ```
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
        self.credit_milli = self.credit_milli.min(self.options.capacity_milli);
    }

    /// Returns the available credit, in thousandths of a call.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// let mut bucket = Bucket::new(Default::default());
    /// bucket.earn();
    /// assert_eq!(bucket.milli(), 100);
    /// ```
    pub fn milli(&self) -> u32 {
        self.credit_milli
    }

    /// Adds the credit earned by one call that entered the mesh at this node.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// # let mut bucket = Bucket::new(Default::default());
    /// bucket.earn();
    /// ```
    pub fn earn(&mut self) {
        self.add_credit(self.options.earned_milli);
    }

    /// Spends [`RETRY_COST_MILLI`] on a retry or hedge of this node. Returns `false` and spends nothing
    /// if the credit does not suffice.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// assert!(!Bucket::new(Default::default()).try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        if self.credit_milli < RETRY_COST_MILLI {
            return false;
        }
        self.credit_milli -= RETRY_COST_MILLI;
        true
    }

    /// Takes the budget that the next call carries downstream out of the bucket: one retry, or nothing
    /// if the credit would fall below the reserve.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// let mut bucket = Bucket::new(Default::default());
    /// assert_eq!(bucket.grant().milli(), 0);
    /// ```
    pub fn grant(&mut self) -> Budget {
        if self.credit_milli < self.options.reserve_milli + MAX_CARRIED_MILLI {
            return Budget::default();
        }
        self.credit_milli -= MAX_CARRIED_MILLI;
        Budget {
            remaining_milli: MAX_CARRIED_MILLI,
        }
    }

    /// Adds the unspent budget of a call back to the bucket, up to the capacity.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// # use hitch_retry::Budget;
    /// let mut bucket = Bucket::new(Default::default());
    /// bucket.put_back(Budget::from_milli(1_000));
    /// assert_eq!(bucket.milli(), 1_000);
    /// ```
    pub fn put_back(&mut self, unspent: Budget) {
        self.add_credit(unspent.remaining_milli);
    }

    fn add_credit(&mut self, milli: u32) {
        self.credit_milli = self
            .credit_milli
            .saturating_add(milli)
            .min(self.options.capacity_milli);
    }
}

/// The retry budget that one call carries, for retries at the node that holds it or downstream of it.
///
/// It is neither `Copy` nor `Clone`: after it was passed downstream, the node has no budget for the
/// call.
///
/// ```
/// use hitch_retry::Budget;
///
/// let mut budget = Budget::from_milli(1_000);
/// let downstream = budget.hand_down();
/// assert!(!budget.try_spend());
/// budget.take_back(Some(downstream.milli()));
/// assert!(budget.try_spend());
/// ```
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Budget {
    remaining_milli: u32,
}

impl Budget {
    /// Creates a budget from the value received with a call, in thousandths of a call, capped at
    /// [`MAX_CARRIED_MILLI`].
    ///
    /// ```
    /// assert_eq!(hitch_retry::Budget::from_milli(u32::MAX).milli(), 1_000);
    /// ```
    pub fn from_milli(milli: u32) -> Budget {
        Budget {
            remaining_milli: milli.min(MAX_CARRIED_MILLI),
        }
    }

    /// Returns the remaining budget, in thousandths of a call.
    ///
    /// ```
    /// assert_eq!(hitch_retry::Budget::default().milli(), 0);
    /// ```
    pub fn milli(&self) -> u32 {
        self.remaining_milli
    }

    /// Spends [`RETRY_COST_MILLI`] on a retry or hedge. Returns `false` and spends nothing if the budget
    /// does not suffice.
    ///
    /// ```
    /// assert!(hitch_retry::Budget::from_milli(1_000).try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        if self.remaining_milli < RETRY_COST_MILLI {
            return false;
        }
        self.remaining_milli -= RETRY_COST_MILLI;
        true
    }

    /// Takes the whole budget out, to be sent downstream with the call.
    ///
    /// ```
    /// # let mut budget = hitch_retry::Budget::from_milli(1_000);
    /// assert_eq!(budget.hand_down().milli(), 1_000);
    /// assert_eq!(budget.milli(), 0);
    /// ```
    pub fn hand_down(&mut self) -> Budget {
        std::mem::take(self)
    }

    /// Sets the budget to the remaining amount that the downstream answer reports, in thousandths of a
    /// call and capped at [`MAX_CARRIED_MILLI`].
    ///
    /// If the answer reports no amount, the whole budget counts as spent, because nodes downstream may
    /// have used it.
    ///
    /// ```
    /// # let mut budget = hitch_retry::Budget::from_milli(1_000);
    /// budget.hand_down();
    /// budget.take_back(None);
    /// assert_eq!(budget.milli(), 0);
    /// ```
    pub fn take_back(&mut self, remaining_milli: Option<u32>) {
        self.remaining_milli = remaining_milli.unwrap_or(0).min(MAX_CARRIED_MILLI);
    }
}
